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
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.streamring.direct.backend.AnswerDefectListener;
import org.streamring.direct.backend.BackendPool;
import org.streamring.kernel.admission.OwnLateness;
import org.streamring.kernel.admission.WaitQuery;
import org.streamring.kernel.availability.BackendAvailability;
import org.streamring.kernel.availability.BackendNotice;
import org.streamring.kernel.limit.FleetRetryBudget;
import org.streamring.kernel.limit.FleetShare;
import org.streamring.kernel.permit.LimitWord;
import org.streamring.kernel.permit.LimitedBackends;
import org.streamring.kernel.permit.PermitCoordinator;
import org.streamring.kernel.placement.ColdLimit;
import org.streamring.kernel.placement.ColdReplicas;
import org.streamring.kernel.placement.PlacedPrompt;
import org.streamring.kernel.placement.PlacementQuery;
import org.streamring.kernel.placement.PlacementTable;
import org.streamring.kernel.placement.ReplicaState;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.kernel.registry.BackendRegistry;
import org.streamring.kernel.stream.StreamOrigin;
import org.streamring.model.route.ServiceTraits;
import org.streamring.platform.node.ForwardingHeaders;
import org.streamring.platform.node.NodeSettings;

/** Backend servers from the view of this entry: connections, load, health and retries. Confined to the event loop. */
public final class BackendFleet {
    private static final int MAX_LOGGED_REPLICAS = 12;

    /** A replica that runs requests and sent nothing for this time may itself be silent. */
    private static final long MAX_QUIET_MILLIS = 500;

    /** Statuses by which a replica rejects a request; they are no evidence of whether it serves requests properly. */
    private static final Set<Integer> REJECTION_STATUSES = Set.of(421, 429, 503);

    /** Status sent by a process other than the requested incarnation; a limit in such an answer is ignored. */
    private static final int MISDIRECTED_STATUS = 421;

    private final EventLoop loop;
    private final BackendRegistry registry;
    private final PlannedEnds plannedEnds;
    private final BackendAvailability availability;
    private final PlacementTable placement;
    private final PermitCoordinator permits;
    private final LimitedBackends limits;
    private final ColdReplicas cold;
    private final OwnLateness boxDelay = new OwnLateness();
    private final ForwardingHeaders headers;
    private final LongSupplier clock;
    private final IntSupplier entries;
    private final FleetShare share;
    private final Supplier<NodeSettings.RetryLimit> retryLimit;
    private final Supplier<NodeSettings.ColdMargin> coldMargin;
    private final Function<String, AnswerDefectListener> defects;
    private final Map<Destination, BackendPool> pools = new HashMap<>();
    private final Map<String, FleetRetryBudget> retries = new HashMap<>();

    /** Target of pooled connections: each process (incarnation) and each address has its own pool. */
    private record Destination(String incarnation, String host, int port) {
        static Destination of(BackendInstance instance) {
            return new Destination(instance.incarnation(), instance.host(), instance.port());
        }

        InetSocketAddress address() {
            return new InetSocketAddress(host, port);
        }
    }

    /**
     * Creates a fleet without connections.
     *
     * @param availability which replicas accept requests
     * @param permits permits of this entry for replicas that announce a limit for all entries together
     * @param cold which replicas are cold
     * @param entries number of live entries
     * @param share this entry's part of what all entries together may do
     * @param coldMargin requests that a cold replica tolerates above its rate
     * @param defects returns what receives the defects of the answers of a replica, given by its identifier
     */
    public BackendFleet(
            EventLoop loop,
            BackendRegistry registry,
            BackendAvailability availability,
            PermitCoordinator permits,
            ColdReplicas cold,
            Random random,
            ForwardingHeaders headers,
            LongSupplier clock,
            IntSupplier entries,
            FleetShare share,
            Supplier<NodeSettings.RetryLimit> retryLimit,
            Supplier<NodeSettings.ColdMargin> coldMargin,
            Function<String, AnswerDefectListener> defects) {
        this.loop = loop;
        this.cold = cold;
        this.coldMargin = coldMargin;
        this.defects = defects;
        this.registry = registry;
        this.plannedEnds = new PlannedEnds(registry);
        this.availability = availability;
        this.permits = permits;
        this.limits = permits.limits();
        this.placement = new PlacementTable(random);
        this.headers = headers;
        this.clock = clock;
        this.entries = entries;
        this.share = share;
        this.retryLimit = retryLimit;
    }

    /**
     * Chooses a replica of a service. A replica that is shutting down is chosen only if all others are shutting down or
     * backing off.
     */
    Optional<BackendInstance> choose(ServiceTraits service, PlacementQuery query) {
        long now = clock.getAsLong();
        List<BackendInstance> accepting = acceptingInstances(candidates(service.name(), query), now);
        accepting.forEach(instance -> permits.wanted(instance.incarnation(), now));
        List<BackendInstance> ready = ready(service, accepting, now);
        List<BackendInstance> due = ready.stream()
                .filter(instance -> limits.isDue(instance.incarnation(), now))
                .toList();
        return placement
                .choose(query, service, due, entries.getAsInt(), now)
                .or(() -> placement.choose(query, service, ready, entries.getAsInt(), now));
    }

    /**
     * Chooses a replica that is expected to answer: none that is silent on other connections, ejected or shutting down.
     */
    Optional<BackendInstance> chooseResponsive(ServiceTraits service, PlacementQuery query) {
        Set<String> excluded = new HashSet<>(query.excluded());
        candidates(service.name(), query).stream()
                .filter(instance -> pool(instance).isQuiet(MAX_QUIET_MILLIS))
                .map(BackendInstance::id)
                .forEach(excluded::add);
        return chooseUsable(service, query.excluding(excluded));
    }

    /**
     * Chooses a replica at which this entry has a silent attempt for another one that takes its place, and its slot.
     */
    Optional<BackendInstance> chooseAgain(ServiceTraits service, BackendInstance instance) {
        long now = clock.getAsLong();
        List<BackendInstance> accepting = registry.inService(service.name()).stream()
                .filter(listed -> listed.incarnation().equals(instance.incarnation()))
                .filter(listed -> availability.isAvailable(listed.incarnation(), now))
                .toList();
        return ready(service, accepting, now).stream().filter(this::isUsable).findFirst();
    }

    /** Chooses a replica that is not ejected or shutting down, also one that was not heard for a while. */
    Optional<BackendInstance> chooseUsable(ServiceTraits service, PlacementQuery query) {
        return choose(service, query).filter(this::isUsable);
    }

    private List<BackendInstance> ready(ServiceTraits service, List<BackendInstance> accepting, long now) {
        ColdLimit limit = limit(service);
        return accepting.stream()
                .filter(instance -> limits.mayBePlaced(instance.incarnation(), now))
                .filter(instance -> cold.mayPlace(instance.id(), limit, now))
                .toList();
    }

    private boolean isUsable(BackendInstance instance) {
        return state(instance).usable(clock.getAsLong()) && !availability.isShuttingDown(instance.incarnation());
    }

    /** Returns why each replica that matches a query isn't chosen, for the log; of many replicas only some. */
    String obstacles(String service, PlacementQuery query) {
        long now = clock.getAsLong();
        List<BackendInstance> instances = candidates(service, query);
        List<BackendInstance> accepting = acceptingInstances(instances, now);
        return instances.stream()
                .limit(MAX_LOGGED_REPLICAS)
                .map(instance -> instance.id() + "="
                        + (accepting.contains(instance) ? obstacle(query, instance, now) : "backs_off_or_leaves"))
                .collect(Collectors.joining(","));
    }

    private String obstacle(PlacementQuery query, BackendInstance instance, long now) {
        if (!limits.mayBePlaced(instance.incarnation(), now)) {
            return "limited";
        }
        return placement.obstacle(query, instance, entries.getAsInt(), now);
    }

    private List<BackendInstance> candidates(String service, PlacementQuery query) {
        return registry.inService(service).stream().filter(query::matches).toList();
    }

    private List<BackendInstance> acceptingInstances(List<BackendInstance> instances, long now) {
        List<BackendInstance> accepting = instances.stream()
                .filter(instance -> availability.isAvailable(instance.incarnation(), now))
                .toList();
        if (!accepting.isEmpty()) {
            return accepting;
        }
        return instances.stream()
                .filter(instance -> availability.isAvailableAsLastResort(instance.incarnation(), now))
                .toList();
    }

    /** Returns for how long the replicas that match a query accept no requests, according to their own notices. */
    ServiceUnavailability unavailability(String service, PlacementQuery query) {
        long now = clock.getAsLong();
        List<BackendInstance> instances = candidates(service, query);
        boolean allTried = instances.stream().map(BackendInstance::id).allMatch(query.excluded()::contains);
        if (query.softwareVersion().isPresent() && allTried) {
            return ServiceUnavailability.versionNotServed();
        }
        List<BackendInstance> accepting = acceptingInstances(instances, now);
        if (!accepting.isEmpty()) {
            long limitedMillis = accepting.stream()
                    .mapToLong(instance -> limits.millisUntilPlaceable(instance.incarnation(), now))
                    .min()
                    .getAsLong();
            return limitedMillis == 0 ? ServiceUnavailability.AVAILABLE : ServiceUnavailability.limited(limitedMillis);
        }
        if (instances.isEmpty()) {
            return ServiceUnavailability.AVAILABLE;
        }
        return ServiceUnavailability.backingOff(instances.stream()
                .filter(registry::isOpenAndRunning)
                .mapToLong(instance -> availability.remainingBackOffMillis(instance.incarnation(), now))
                .min()
                .orElse(WaitQuery.NEVER));
    }

    /** Counts a request that is placed at a replica now, and returns the check to make before it is sent. */
    SendCheck sendCheck(BackendInstance instance) {
        return new SendCheck(availability, limits, cold, clock, instance);
    }

    private ColdLimit limit(ServiceTraits service) {
        double perSecond = service.coldPerSecond();
        return new ColdLimit(perSecond, coldMargin.get().mostInSecond(perSecond));
    }

    /** Records the load of a request that is placed at a replica. */
    PlacedPrompt started(PlacementQuery query, ServiceTraits service, BackendInstance instance) {
        return placement.started(query, service, instance, clock.getAsLong());
    }

    /**
     * Returns the software version of the process that answers as a replica. It is unknown if another process has been
     * listed under the replica's identifier since the replica was chosen.
     */
    String softwareVersionOf(BackendInstance chosen) {
        boolean replaced = registry.find(chosen.id())
                .filter(listed -> !listed.incarnation().equals(chosen.incarnation()))
                .isPresent();
        return replaced ? StreamOrigin.UNKNOWN_VERSION : chosen.softwareVersion();
    }

    /** Returns the load and health of a replica. */
    ReplicaState state(BackendInstance instance) {
        return placement.state(instance.id());
    }

    /** Returns the placement of running requests, for the exchange with other entries. */
    public PlacementTable placement() {
        return placement;
    }

    /** Returns the connection pool of a replica. */
    BackendPool pool(BackendInstance instance) {
        return pools.computeIfAbsent(
                Destination.of(instance),
                destination -> new BackendPool(
                        loop,
                        destination.address(),
                        headers,
                        clock,
                        took -> boxDelay.recordConnectTime(instance.id(), took, clock.getAsLong()),
                        (status, notice, limit, sentMillis) ->
                                answered(destination.incarnation(), status, notice, limit, sentMillis),
                        defects.apply(instance.id())));
    }

    /** Returns the check of answers of a replica that end with their connection. */
    ConnectionEndCheck connectionEndCheck(BackendInstance instance) {
        return new ConnectionEndCheck(pool(instance), plannedEnds, instance);
    }

    private void answered(String incarnation, int status, BackendNotice notice, LimitWord limit, long sentMillis) {
        long now = clock.getAsLong();
        availability.answered(incarnation, REJECTION_STATUSES.contains(status), notice, now);
        if (status != MISDIRECTED_STATUS) {
            permits.answered(incarnation, limit, sentMillis, now);
        }
    }

    /** Whether this box itself is delayed, so that slow connections are not counted against the replicas. */
    boolean isLocalBoxDelayed() {
        return boxDelay.isDelayed(clock.getAsLong());
    }

    /** Returns the retry budget of a service. */
    FleetRetryBudget retries(String service) {
        return retries.computeIfAbsent(
                service,
                name -> new FleetRetryBudget(
                        retryLimit.get().ratio(),
                        retryLimit.get().slack(),
                        retryLimit.get().window().toMillis(),
                        share));
    }

    /**
     * Closes the idle connections to all replicas that were last used at or before a time. Connections mostly fall
     * silent at the same time; if they were tried one after the other, each would delay a request by a second.
     */
    void closeIdleLastUsedBy(long lastUsedMillis) {
        pools.values().forEach(pool -> pool.closeIdleUnusedSince(lastUsedMillis));
    }

    /** Drops the state of replicas that no longer exist, and connections that were idle for too long. */
    public void removeStale() {
        Set<String> ids = new HashSet<>();
        Set<String> incarnations = new HashSet<>();
        Set<Destination> staying = new HashSet<>();
        for (BackendInstance instance : registry.all()) {
            ids.add(instance.id());
            incarnations.add(instance.incarnation());
            if (registry.isOpenAndRunning(instance)) {
                staying.add(Destination.of(instance));
            }
        }
        placement.keepOnly(ids);
        cold.keepOnly(ids);
        availability.forgetGone(incarnations, clock.getAsLong());
        permits.forgetGone(incarnations, clock.getAsLong());
        pools.entrySet().removeIf(entry -> {
            if (staying.contains(entry.getKey())) {
                entry.getValue().closeExpiredIdle();
                return false;
            }
            entry.getValue().closeIdle();
            return entry.getValue().isEmpty();
        });
    }
}
