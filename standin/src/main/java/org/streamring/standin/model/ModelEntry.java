package org.streamring.standin.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.streamring.kernel.admission.SlotReleaseRate;
import org.streamring.kernel.admission.WaitDecision;
import org.streamring.kernel.admission.WaitPolicy;
import org.streamring.kernel.admission.WaitQuery;
import org.streamring.kernel.limit.FleetShare;
import org.streamring.kernel.placement.ColdReplicas;
import org.streamring.kernel.placement.PlacementQuery;
import org.streamring.kernel.placement.PlacementReport;
import org.streamring.kernel.placement.PlacementTable;
import org.streamring.kernel.registry.BackendInstance;

/** An entry with its link and processor modelled as queues; its decisions are made by the classes of the kernel. */
final class ModelEntry {
    /** Interval at which waiting requests are checked, as in real entries. */
    private static final double QUEUE_CHECK_MILLIS = 15;

    private final SimulatedClock time;
    private final ModelFleet fleet;
    private final int number;
    private final Scenario.Fleet settings;
    private final LoadStatistics statistics;
    private final Backlog inboundLink;
    private final Backlog outboundLink;
    private final Backlog processor;
    private final PlacementTable placement;
    private final ColdReplicas coldReplicas;
    private final WaitPolicy waitPolicy;
    private final SlotReleaseRate slotReleaseRate = new SlotReleaseRate();
    private final List<EntryTry> queue = new ArrayList<>();
    private boolean checkScheduled;

    ModelEntry(
            SimulatedClock time,
            ModelFleet fleet,
            Scenario.Fleet settings,
            int number,
            WaitPolicyChoice choice,
            LoadStatistics statistics,
            Random random) {
        this.time = time;
        this.fleet = fleet;
        this.settings = settings;
        this.number = number;
        this.statistics = statistics;
        double link = settings.linkBytesPerMilli()
                .get(number % settings.linkBytesPerMilli().size());
        this.inboundLink = new Backlog(link);
        this.outboundLink = new Backlog(link);
        this.processor =
                new Backlog(settings.cores().get(number % settings.cores().size()));
        this.placement = new PlacementTable(random);
        FleetShare share = new FleetShare(
                () -> new FleetShare.View(fleet.names().size(), 0, FleetShare.Start.FIRST), time::millis);
        this.coldReplicas = new ColdReplicas(name(), fleet::names, share);
        this.waitPolicy = choice.policyFactory().get();
    }

    int number() {
        return number;
    }

    String name() {
        return "entry-" + number;
    }

    /** Returns the placement report for the other entries. */
    PlacementReport report() {
        return placement.report(time.millis());
    }

    void receiveReport(String entry, PlacementReport report) {
        placement.applyReport(entry, report, id -> fleet.traitsOf(id).memoryTokens(), time.millis());
    }

    void coldReplicaAdded(String replica, long millis) {
        coldReplicas.recordCold(replica, millis, time.millis());
    }

    /** Accepts a try of a call. */
    void accept(Call call, Refusal refusal) {
        double arrived = time.now();
        double read = inboundLink.add(arrived, call.kind().bodyBytes());
        double ready = processor.add(read, settings.requestCpuMillis());
        time.at(ready, () -> new EntryTry(this, call, refusal, arrived).sendOrWait());
    }

    /** Receives the refusal of a try. */
    interface Refusal {
        /** Called when the try was refused; the caller may retry after the given number of milliseconds. */
        void refused(double afterMillis);
    }

    /** Chooses a replica; empty if no replica may get the call now. */
    Optional<BackendInstance> choose(Call call, PlacementQuery query) {
        long now = time.millis();
        List<BackendInstance> ready = fleet.listedReplicas(call.kind()).stream()
                .filter(instance -> coldReplicas.mayPlace(instance.id(), fleet.coldLimit(call.kind()), now))
                .toList();
        return placement.choose(query, fleet.traits(call.kind()), ready, settings.entries(), now);
    }

    /** Queues a try or refuses it, as decided by the wait policy. */
    void waitOrRefuse(EntryTry waiter) {
        WaitDecision decision = waitPolicy.decide(query(waiter));
        if (!decision.waits()) {
            queue.remove(waiter);
            statistics.recordRefusal(time.now() - waiter.arrivedMillis());
            waiter.refuse((double) decision.retryAfter().toMillis());
        } else if (!queue.contains(waiter)) {
            queue.add(waiter);
            queue.sort(Comparator.comparingInt(each -> each.call().kind().rank()));
            scheduleQueueCheck();
        }
    }

    private WaitQuery query(EntryTry waiter) {
        int ownIndex = queue.indexOf(waiter);
        int rank = waiter.call().kind().rank();
        int ahead = ownIndex >= 0
                ? ownIndex
                : (int) queue.stream()
                        .filter(each -> each.call().kind().rank() <= rank)
                        .count();
        return new WaitQuery(
                (long) (time.now() - waiter.arrivedMillis()),
                waiter.call().kind().targetMillis(),
                (long) (waiter.call().deadlineMillis() - time.now()),
                ahead,
                slotReleaseRate.perMilli(time.millis()),
                0);
    }

    /** Records that a slot became free, and sends waiting requests. */
    void slotReleased() {
        slotReleaseRate.recordRelease(time.millis());
        sendWaiting();
    }

    private void sendWaiting() {
        for (EntryTry waiter : List.copyOf(queue)) {
            if (queue.contains(waiter) && waiter.sendOrWait()) {
                queue.remove(waiter);
            }
        }
    }

    private void scheduleQueueCheck() {
        if (!checkScheduled) {
            checkScheduled = true;
            time.after(QUEUE_CHECK_MILLIS, () -> {
                checkScheduled = false;
                sendWaiting();
                if (!queue.isEmpty()) {
                    scheduleQueueCheck();
                }
            });
        }
    }

    PlacementTable placement() {
        return placement;
    }

    ColdReplicas coldReplicas() {
        return coldReplicas;
    }

    ModelFleet fleet() {
        return fleet;
    }

    SimulatedClock time() {
        return time;
    }

    /** Sends a request now and returns the time at which it reaches the replica. */
    double sendRequest(Call call) {
        return outboundLink.add(time.now(), call.kind().bodyBytes()) + settings.hopMillis();
    }

    /** Receives an event that a replica sends now, and returns the time at which this entry has processed it. */
    double receiveEvent() {
        return processor.add(
                inboundLink.add(time.now() + settings.hopMillis(), settings.eventBytes()), settings.eventCpuMillis());
    }

    /** Forwards an event at the given time and returns the time at which it reaches the caller. */
    double forwardEvent(double atMillis) {
        return outboundLink.add(atMillis, settings.eventBytes()) + settings.hopMillis();
    }
}
