package org.streamring.standin.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.streamring.kernel.admission.PlacePace;
import org.streamring.kernel.admission.WaitDecision;
import org.streamring.kernel.admission.WaitPolicy;
import org.streamring.kernel.admission.WaitQuery;
import org.streamring.kernel.placement.ColdReplicas;
import org.streamring.kernel.placement.PlacementQuery;
import org.streamring.kernel.placement.PlacementReport;
import org.streamring.kernel.placement.PlacementTable;
import org.streamring.kernel.registry.BackendInstance;

/** One entry: its link and processor as queues, its decisions by the kernel's own classes. */
final class ModelEntry {
    /** As entries do, requests that wait are looked at so often. */
    private static final double LOOK_MILLIS = 15;

    private final Timeline time;
    private final ModelFleet fleet;
    private final int number;
    private final Scenario.Fleet sheet;
    private final LoadTally tally;
    private final Backlog in;
    private final Backlog out;
    private final Backlog processor;
    private final PlacementTable placement;
    private final ColdReplicas cold;
    private final WaitPolicy waiting;
    private final PlacePace pace = new PlacePace();
    private final List<Try> line = new ArrayList<>();
    private boolean looking;

    ModelEntry(
            Timeline time,
            ModelFleet fleet,
            Scenario.Fleet sheet,
            int number,
            Way way,
            LoadTally tally,
            Random random) {
        this.time = time;
        this.fleet = fleet;
        this.sheet = sheet;
        this.number = number;
        this.tally = tally;
        double link =
                sheet.linkBytesPerMilli().get(number % sheet.linkBytesPerMilli().size());
        this.in = new Backlog(link);
        this.out = new Backlog(link);
        this.processor = new Backlog(sheet.cores().get(number % sheet.cores().size()));
        this.placement = new PlacementTable(random);
        this.cold = new ColdReplicas(name(), fleet::names);
        this.waiting = way.waiting().get();
    }

    int number() {
        return number;
    }

    String name() {
        return "entry-" + number;
    }

    /** What it tells the others. */
    PlacementReport report() {
        return placement.report(time.millis());
    }

    void reported(String entry, PlacementReport report) {
        placement.reported(entry, report, id -> fleet.traitsOf(id).memoryTokens(), time.millis());
    }

    void heardCold(String replica, long millis) {
        cold.heard(replica, millis, time.millis());
    }

    /** Takes a try of a call. */
    void take(Call call, Refusal refusal) {
        double arrived = time.now();
        double read = in.add(arrived, call.kind().bodyBytes());
        double ready = processor.add(read, sheet.requestCpuMillis());
        time.at(ready, () -> new Try(this, call, refusal, arrived).place());
    }

    /** Hears that a try was refused. */
    interface Refusal {
        /** The caller may come back after a while. */
        void refused(double afterMillis);
    }

    /** Chooses a replica; empty if none may take the call now. */
    Optional<BackendInstance> choose(Call call, PlacementQuery query) {
        long now = time.millis();
        List<BackendInstance> ready = fleet.known(call.kind()).stream()
                .filter(instance -> cold.takes(instance.id(), fleet.coldLimit(call.kind()), now))
                .toList();
        return placement.choose(query, fleet.traits(call.kind()), ready, sheet.entries(), now);
    }

    /** Lets a try wait or refuses it, as the policy says. */
    void waitOrRefuse(Try waiter) {
        WaitDecision decision = waiting.decide(query(waiter));
        if (!decision.waits()) {
            line.remove(waiter);
            tally.refusedTry(time.now() - waiter.arrivedMillis());
            waiter.refuse((double) decision.retryAfter().toMillis());
        } else if (!line.contains(waiter)) {
            line.add(waiter);
            line.sort(Comparator.comparingInt(each -> each.call().kind().rank()));
            lookSoon();
        }
    }

    private WaitQuery query(Try waiter) {
        int own = line.indexOf(waiter);
        int rank = waiter.call().kind().rank();
        int ahead = own >= 0
                ? own
                : (int) line.stream()
                        .filter(each -> each.call().kind().rank() <= rank)
                        .count();
        return new WaitQuery(
                (long) (time.now() - waiter.arrivedMillis()),
                waiter.call().kind().targetMillis(),
                (long) (waiter.call().deadlineMillis() - time.now()),
                ahead,
                pace.perMilli(time.millis()),
                0);
    }

    /** A place became free. */
    void freed() {
        pace.freed(time.millis());
        look();
    }

    private void look() {
        for (Try waiter : List.copyOf(line)) {
            if (line.contains(waiter) && waiter.place()) {
                line.remove(waiter);
            }
        }
    }

    private void lookSoon() {
        if (!looking) {
            looking = true;
            time.after(LOOK_MILLIS, () -> {
                looking = false;
                look();
                if (!line.isEmpty()) {
                    lookSoon();
                }
            });
        }
    }

    PlacementTable placement() {
        return placement;
    }

    ColdReplicas cold() {
        return cold;
    }

    ModelFleet fleet() {
        return fleet;
    }

    Timeline time() {
        return time;
    }

    /** When a request that leaves now reaches a replica. */
    double sent(Call call) {
        return out.add(time.now(), call.kind().bodyBytes()) + sheet.hopMillis();
    }

    /** When an event that a replica makes now has been taken here. */
    double taken() {
        return processor.add(in.add(time.now() + sheet.hopMillis(), sheet.eventBytes()), sheet.eventCpuMillis());
    }

    /** When an event that is passed on at a time reaches the caller. */
    double passedOn(double atMillis) {
        return out.add(atMillis, sheet.eventBytes()) + sheet.hopMillis();
    }
}
