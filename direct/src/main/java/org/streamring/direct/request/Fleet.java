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
import org.streamring.kernel.limit.FleetRetryBudget;
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
    private final EventLoop loop;
    private final BackendRegistry registry;
    private final PlacementTable placement;
    private final ColdReplicas cold;
    private final OwnLateness lateness = new OwnLateness();
    private final ForwardingHeaders headers;
    private final NoticeLog noticeLog;
    private final LongSupplier clock;
    private final IntSupplier entries;
    private final Supplier<NodeSettings.RetryLimit> retryLimit;
    private final Supplier<NodeSettings.ColdMargin> coldMargin;
    private final Map<String, BackendPool> pools = new HashMap<>();
    private final Map<String, FleetRetryBudget> retries = new HashMap<>();

    /**
     * Creates one without connections.
     *
     * @param cold which replicas are cold
     * @param entries number of live entries
     * @param coldMargin what a cold replica bears beyond its rate
     */
    public Fleet(
            EventLoop loop,
            BackendRegistry registry,
            ColdReplicas cold,
            Random random,
            ForwardingHeaders headers,
            NoticeLog noticeLog,
            LongSupplier clock,
            IntSupplier entries,
            Supplier<NodeSettings.RetryLimit> retryLimit,
            Supplier<NodeSettings.ColdMargin> coldMargin) {
        this.loop = loop;
        this.cold = cold;
        this.coldMargin = coldMargin;
        this.registry = registry;
        this.placement = new PlacementTable(random);
        this.headers = headers;
        this.noticeLog = noticeLog;
        this.clock = clock;
        this.entries = entries;
        this.retryLimit = retryLimit;
    }

    /** Chooses a replica of a service. */
    Optional<BackendInstance> choose(ServiceTraits service, PlacementQuery query) {
        long now = clock.getAsLong();
        ColdLimit limit = limit(service);
        List<BackendInstance> ready = registry.ready(service.name()).stream()
                .filter(instance -> cold.takes(instance.id(), limit, now))
                .toList();
        return placement.choose(query, service, ready, entries.getAsInt(), now);
    }

    private ColdLimit limit(ServiceTraits service) {
        double perSecond = service.coldPerSecond();
        return new ColdLimit(perSecond, coldMargin.get().mostInSecond(perSecond));
    }

    /** Notes that a request begins at a replica. */
    PlacedPrompt started(PlacementQuery query, ServiceTraits service, BackendInstance instance) {
        cold.placed(instance.id(), clock.getAsLong());
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
                instance.id(),
                id -> new BackendPool(
                        loop,
                        addressOf(instance),
                        headers,
                        clock,
                        took -> lateness.connecting(id, took, clock.getAsLong()),
                        (status, notice) -> noticeLog.answered(instance, status, notice)));
    }

    /** Whether this box itself is late, so that what takes long is not the replicas' fault. */
    boolean ownBoxLate() {
        return lateness.late(clock.getAsLong());
    }

    private static InetSocketAddress addressOf(BackendInstance instance) {
        return new InetSocketAddress(instance.host(), instance.port());
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
        registry.all().forEach(instance -> known.add(instance.id()));
        placement.keepOnly(known);
        cold.keepOnly(known);
        pools.entrySet().removeIf(entry -> {
            if (known.contains(entry.getKey()) && registry.isReady(entry.getKey())) {
                entry.getValue().closeStale();
                return false;
            }
            entry.getValue().closeIdle();
            return entry.getValue().isEmpty();
        });
    }
}
