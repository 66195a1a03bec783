package org.streamring.direct.request;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.streamring.direct.backend.BackendPool;
import org.streamring.kernel.admission.OwnLateness;
import org.streamring.kernel.admission.WaitQuery;
import org.streamring.kernel.availability.BackendAvailability;
import org.streamring.kernel.availability.BackendNotice;
import org.streamring.kernel.limit.FleetRetryBudget;
import org.streamring.kernel.permit.LimitWord;
import org.streamring.kernel.permit.LimitedBackends;
import org.streamring.kernel.permit.PermitDesk;
import org.streamring.kernel.placement.ColdLimit;
import org.streamring.kernel.placement.ColdReplicas;
import org.streamring.kernel.placement.PlacedPrompt;
import org.streamring.kernel.placement.PlacementQuery;
import org.streamring.kernel.placement.PlacementTable;
import org.streamring.kernel.placement.ReplicaState;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.kernel.registry.BackendRegistry;
import org.streamring.model.route.ServiceTraits;
import org.streamring.platform.node.ForwardingHeaders;
import org.streamring.platform.node.NodeSettings;

/** The backend servers as this entry uses them: connections, load, health and retries. Confined to the event loop. */
public final class Fleet {
    /** An answer with one of these says nothing of how the replica serves. */
    private static final Set<Integer> TURNED_AWAY = Set.of(421, 429, 503);

    /** A process that is not the one asked for answers so; what it says of a limit is not that one's word. */
    private static final int ANOTHER_INCARNATION = 421;

    private final EventLoop loop;
    private final BackendRegistry registry;
    private final BackendAvailability availability;
    private final PlacementTable placement;
    private final PermitDesk permits;
    private final LimitedBackends limits;
    private final ColdReplicas cold;
    private final OwnLateness lateness = new OwnLateness();
    private final ForwardingHeaders headers;
    private final LongSupplier clock;
    private final IntSupplier entries;
    private final Supplier<NodeSettings.RetryLimit> retryLimit;
    private final Supplier<NodeSettings.ColdMargin> coldMargin;
    private final Map<Destination, BackendPool> pools = new HashMap<>();
    private final Map<String, FleetRetryBudget> retries = new HashMap<>();

    /** Where connections lead to: another process at the address, or another address, has connections of its own. */
    private record Destination(String incarnation, String host, int port) {
        static Destination of(BackendInstance instance) {
            return new Destination(instance.incarnation(), instance.host(), instance.port());
        }

        InetSocketAddress address() {
            return new InetSocketAddress(host, port);
        }
    }

    /**
     * Creates one without connections.
     *
     * @param availability which replicas may be sent to
     * @param permits what replicas that name a limit for all entries together take from this one
     * @param cold which replicas are cold
     * @param entries number of live entries
     * @param coldMargin what a cold replica bears beyond its rate
     */
    public Fleet(
            EventLoop loop,
            BackendRegistry registry,
            BackendAvailability availability,
            PermitDesk permits,
            ColdReplicas cold,
            Random random,
            ForwardingHeaders headers,
            LongSupplier clock,
            IntSupplier entries,
            Supplier<NodeSettings.RetryLimit> retryLimit,
            Supplier<NodeSettings.ColdMargin> coldMargin) {
        this.loop = loop;
        this.cold = cold;
        this.coldMargin = coldMargin;
        this.registry = registry;
        this.availability = availability;
        this.permits = permits;
        this.limits = permits.limits();
        this.placement = new PlacementTable(random);
        this.headers = headers;
        this.clock = clock;
        this.entries = entries;
        this.retryLimit = retryLimit;
    }

    /** Chooses a replica of a service; one that leaves only where all others leave or rest. */
    Optional<BackendInstance> choose(ServiceTraits service, PlacementQuery query) {
        long now = clock.getAsLong();
        ColdLimit limit = limit(service);
        List<BackendInstance> open = open(service.name(), now);
        open.forEach(instance -> permits.wanted(instance.incarnation(), now));
        List<BackendInstance> ready = open.stream()
                .filter(instance -> limits.takes(instance.incarnation(), now))
                .filter(instance -> cold.takes(instance.id(), limit, now))
                .toList();
        List<BackendInstance> due = ready.stream()
                .filter(instance -> limits.isDue(instance.incarnation(), now))
                .toList();
        return placement
                .choose(query, service, due, entries.getAsInt(), now)
                .or(() -> placement.choose(query, service, ready, entries.getAsInt(), now));
    }

    private List<BackendInstance> open(String service, long now) {
        List<BackendInstance> known = registry.inService(service);
        List<BackendInstance> open = known.stream()
                .filter(instance -> availability.takes(instance.incarnation(), now))
                .toList();
        if (!open.isEmpty()) {
            return open;
        }
        return known.stream()
                .filter(instance -> availability.takesAsLast(instance.incarnation(), now))
                .toList();
    }

    /** Whether a replica of a service may be asked at all, by what they said of themselves. */
    Closure closure(String service) {
        long now = clock.getAsLong();
        List<BackendInstance> known = registry.inService(service);
        List<BackendInstance> open = open(service, now);
        if (!open.isEmpty()) {
            long turn = open.stream()
                    .mapToLong(instance -> limits.turnMillis(instance.incarnation(), now))
                    .min()
                    .getAsLong();
            return turn == 0 ? Closure.OPEN : Closure.limited(turn);
        }
        if (known.isEmpty()) {
            return Closure.OPEN;
        }
        return Closure.resting(known.stream()
                .filter(registry::stays)
                .mapToLong(instance -> availability.restLeftMillis(instance.incarnation(), now))
                .min()
                .orElse(WaitQuery.NEVER));
    }

    /** What is asked before a request is sent that is placed at a replica now. */
    SendCheck sendCheck(BackendInstance instance) {
        return new SendCheck(availability, limits, clock, instance.incarnation());
    }

    private ColdLimit limit(ServiceTraits service) {
        double perSecond = service.coldPerSecond();
        return new ColdLimit(perSecond, coldMargin.get().mostInSecond(perSecond));
    }

    /** Notes that a request begins at a replica. */
    PlacedPrompt started(PlacementQuery query, ServiceTraits service, BackendInstance instance) {
        cold.placed(instance.id(), clock.getAsLong());
        availability.placed(instance.incarnation(), clock.getAsLong());
        return placement.started(query, service, instance, clock.getAsLong());
    }

    /** Load and health of a replica. */
    ReplicaState state(BackendInstance instance) {
        return placement.state(instance.id());
    }

    /** Where requests run, for the exchange with other entries. */
    public PlacementTable placement() {
        return placement;
    }

    /** Connections to a replica. */
    BackendPool pool(BackendInstance instance) {
        return pools.computeIfAbsent(
                Destination.of(instance),
                destination -> new BackendPool(
                        loop,
                        destination.address(),
                        headers,
                        clock,
                        took -> lateness.connecting(instance.id(), took, clock.getAsLong()),
                        (status, notice, limit, sentMillis) ->
                                answered(destination.incarnation(), status, notice, limit, sentMillis)));
    }

    private void answered(String incarnation, int status, BackendNotice notice, LimitWord limit, long sentMillis) {
        long now = clock.getAsLong();
        availability.answered(incarnation, TURNED_AWAY.contains(status), notice, now);
        if (status != ANOTHER_INCARNATION) {
            permits.answered(incarnation, limit, sentMillis, now);
        }
    }

    /** Whether this box itself is late, so that what takes long is not the replicas' fault. */
    boolean ownBoxLate() {
        return lateness.late(clock.getAsLong());
    }

    /** The limit on retries at a service. */
    FleetRetryBudget retries(String service) {
        return retries.computeIfAbsent(
                service,
                name -> new FleetRetryBudget(
                        retryLimit.get().ratio(),
                        retryLimit.get().slack(),
                        retryLimit.get().window().toMillis()));
    }

    /** Takes leave for one retry at a service. */
    boolean tryRetry(String service) {
        return retries(service).tryRetry(clock.getAsLong(), entries.getAsInt());
    }

    /**
     * Closes idle connections to all replicas that were last used by then. Connections mostly fall silent together;
     * tried one after the other, each would cost a request a second.
     */
    void distrustIdle(long millis) {
        pools.values().forEach(pool -> pool.closeIdleUnheardSince(millis));
    }

    /** Drops what belongs to replicas that are gone, and idle connections that rested too long. */
    public void tidy() {
        Set<String> known = new HashSet<>();
        Set<String> incarnations = new HashSet<>();
        Set<Destination> staying = new HashSet<>();
        for (BackendInstance instance : registry.all()) {
            known.add(instance.id());
            incarnations.add(instance.incarnation());
            if (registry.stays(instance)) {
                staying.add(Destination.of(instance));
            }
        }
        placement.keepOnly(known);
        cold.keepOnly(known);
        availability.forgetGone(incarnations, clock.getAsLong());
        permits.forgetGone(incarnations, clock.getAsLong());
        pools.entrySet().removeIf(entry -> {
            if (staying.contains(entry.getKey())) {
                entry.getValue().closeStale();
                return false;
            }
            entry.getValue().closeIdle();
            return entry.getValue().isEmpty();
        });
    }
}
