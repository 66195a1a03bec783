package org.streamring.direct;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.streamring.direct.caller.CallerServer;
import org.streamring.direct.caller.IncompleteAnswerLog;
import org.streamring.direct.feed.BackendFeed;
import org.streamring.direct.feed.ConfigurationFeed;
import org.streamring.direct.feed.EraLog;
import org.streamring.direct.feed.EvacuationFeed;
import org.streamring.direct.feed.MemberRegister;
import org.streamring.direct.feed.SoftwareVersionLog;
import org.streamring.direct.feed.TableWatch;
import org.streamring.direct.feed.ViewAgeLog;
import org.streamring.direct.feed.WatchLog;
import org.streamring.direct.ledger.TokenAllocator;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.memory.BodyMemory;
import org.streamring.direct.metrics.AnswerDefectLog;
import org.streamring.direct.metrics.EntryMetrics;
import org.streamring.direct.metrics.EventLoopDelayMonitor;
import org.streamring.direct.metrics.LinkBacklogMonitor;
import org.streamring.direct.peer.EntryPeers;
import org.streamring.direct.peer.GrantExchange;
import org.streamring.direct.peer.PeerReadiness;
import org.streamring.direct.peer.PermitExchange;
import org.streamring.direct.peer.PlacementExchange;
import org.streamring.direct.peer.StreamOriginExchange;
import org.streamring.direct.peer.TokenLending;
import org.streamring.direct.peer.UsageWitnesses;
import org.streamring.direct.request.AvailabilityLog;
import org.streamring.direct.request.BackendFleet;
import org.streamring.direct.request.CrashSuspectGuard;
import org.streamring.direct.request.LimitLog;
import org.streamring.direct.request.RequestDigests;
import org.streamring.direct.request.RequestRouter;
import org.streamring.direct.request.RequestServices;
import org.streamring.direct.request.StreamOrigins;
import org.streamring.direct.suspect.SuspectExchange;
import org.streamring.direct.suspect.SuspectLog;
import org.streamring.kernel.admission.LinkBacklog;
import org.streamring.kernel.availability.BackendAvailability;
import org.streamring.kernel.limit.FleetShare;
import org.streamring.kernel.memory.MemoryLimits;
import org.streamring.kernel.permit.PermitCoordinator;
import org.streamring.kernel.placement.ColdReplicas;
import org.streamring.kernel.placement.ReportPace;
import org.streamring.kernel.prepaid.AccountKnowledge;
import org.streamring.kernel.prepaid.HomeEntries;
import org.streamring.kernel.prepaid.PrepaidLedger;
import org.streamring.kernel.prepaid.PrepaidSettings;
import org.streamring.kernel.registry.BackendRegistry;
import org.streamring.kernel.route.RouteTable;
import org.streamring.kernel.routing.RendezvousHash;
import org.streamring.kernel.store.EraCheckedStore;
import org.streamring.kernel.suspect.SuspectId;
import org.streamring.kernel.suspect.SuspectLimits;
import org.streamring.kernel.suspect.SuspectTable;
import org.streamring.model.route.CallerLimits;
import org.streamring.model.route.ServiceTraits;
import org.streamring.net.peer.PeerException;
import org.streamring.net.peer.PeerIdentity;
import org.streamring.net.process.AdminServer;
import org.streamring.net.settings.SettingsException;
import org.streamring.platform.node.NodePlatform;
import org.streamring.platform.node.NodeSettings;
import org.streamring.platform.node.OperatorRows;

/**
 * An entry that sends requests directly to backend servers. Creates, starts and stops all its parts.
 *
 * <p>All state is confined to one event loop, so no locks are needed. Only the log uses a separate thread.
 */
final class DirectEntry {
    private static final String DIGEST_PURPOSE = "digests of requests";
    /**
     * Longest wait of a call for changed suspect rows, which gives 0.5 calls per second while nothing changes. A change
     * ends the wait at once. If a call hangs, the change is noticed after this wait plus the time that the store allows
     * for a call, 3.2 s according to the constants.
     */
    private static final Duration SUSPECTS_WAIT = Duration.ofSeconds(2);

    private static final long CLEANUP_INTERVAL_MILLIS = 250;
    private static final long RELOAD_INTERVAL_MILLIS = 5_000;
    private static final Duration MAX_LEASE_WAIT = Duration.ofSeconds(4);

    private final EventLoop loop;
    private final NodePlatform platform;
    private volatile NodeSettings settings;
    private final DecisionLog log;
    private final LongSupplier clock;
    private final BackendAvailability availability;
    private final BackendRegistry registry;
    private final ConfigurationFeed configuration;
    private final BackendFeed backends;
    private final MemberRegister members;
    private final TokenAllocator tokens;
    private final EntryPeers peers;
    private final PeerReadiness peerReadiness;
    private final TokenLending lending;
    private final UsageWitnesses witnesses;
    private final AccountKnowledge knowledge = new AccountKnowledge();
    private final GrantExchange grants;
    private final PermitExchange permits;
    private final HomeEntries homeEntries;
    private final BackendFleet fleet;
    private final PlacementExchange placementExchange;
    private final TableWatch configurationWatch;
    private final TableWatch backendWatch;
    private final TableWatch suspectWatch;
    private final ViewAgeLog viewAges;
    private final EraCheckedStore store;
    private final SuspectTable suspects;
    private final StreamOrigins streams;
    private final SoftwareVersionLog softwareVersions;
    private final SuspectExchange suspectExchange;
    private final RequestRouter router;
    private final LinkBacklog link;
    private final BodyMemory memory;
    private final CallerServer callers;
    private final EventLoopDelayMonitor eventLoopDelayMonitor;
    private final GracefulStop gracefulStop;
    private final IncompleteAnswerLog incompleteAnswers;

    DirectEntry(
            EventLoopGroup loops,
            EventLoop loop,
            NodePlatform platform,
            NodeSettings settings,
            LongSupplier clock,
            DecisionLog log)
            throws PeerException {
        this.loop = loop;
        this.platform = platform;
        this.settings = settings;
        this.log = log;
        this.clock = clock;
        String incarnation = Incarnation.create(settings.nodeName());
        this.availability =
                new BackendAvailability(() -> this.settings.drainTime().toMillis(), new AvailabilityLog(log));
        this.registry = new BackendRegistry(settings.lapsedRetention().toMillis(), availability);
        this.gracefulStop = new GracefulStop(loop, clock, this::stopGracePeriod, log);
        EntryMetrics metrics = new EntryMetrics();
        this.incompleteAnswers =
                new IncompleteAnswerLog(clock, this::configurationVersion, gracefulStop::elapsedMillis, metrics, log);
        this.configuration =
                new ConfigurationFeed(platform.operatorRows(), log, incompleteAnswers::configurationChanged);
        this.viewAges = new ViewAgeLog(clock, metrics, log);
        this.store = new EraCheckedStore(platform.store());
        Random random = new Random();
        PeerIdentity own = new PeerIdentity(PeerIdentity.Role.ENTRY, settings.nodeName(), incarnation);
        this.homeEntries = new HomeEntries(settings.nodeName());
        this.peers = new EntryPeers(loops, loop, store, settings.peers(), own, homeEntries, metrics, log);
        this.peerReadiness = new PeerReadiness(clock, peers::reachesOthers);
        peers.listen(peerReadiness);
        this.witnesses = new UsageWitnesses(peers, settings.nodeName());
        this.grants = new GrantExchange(loop, peers, settings.nodeName(), store, knowledge, log);
        this.lending = new TokenLending(loop, peers, homeEntries, random, metrics, log);
        this.members = createMemberRegister(incarnation);
        FleetShare share = new FleetShare(members::view, clock);
        ColdReplicas cold = new ColdReplicas(settings.nodeName(), members::possiblyLive, share);
        this.tokens = createTokenAllocator(
                new PrepaidLedger(incarnation, PrepaidSettings.DEFAULT), homeEntries, random, metrics);
        this.permits = new PermitExchange(
                loop, peers, settings.nodeName(), this::permitOwners, clock, metrics, log, new LimitLog(log, metrics));
        this.fleet = createFleet(permits.coordinator(), cold, share, random, metrics);
        this.backends = new BackendFeed(platform.operatorRows(), registry, cold, fleet.placement(), clock, log);
        this.link = new LinkBacklog(() -> this.settings.linkBytesPerSecond());
        MemoryLimits memoryLimits = MemoryLimits.ofHeap(Runtime.getRuntime().maxMemory());
        this.memory = new BodyMemory(loop, clock, memoryLimits, metrics, log);
        ReportPace reportPace = new ReportPace(() -> this.settings.linkBytesPerSecond());
        this.placementExchange = new PlacementExchange(
                loop, peers, fleet.placement(), members::live, this::memoryTokensOf, link, reportPace, clock);
        this.configurationWatch = watchConfiguration(metrics);
        this.backendWatch = watchBackends(metrics);
        this.streams = createStreamOrigins(metrics);
        this.softwareVersions = new SoftwareVersionLog(registry, streams::count, metrics, log);
        this.suspects = new SuspectTable(SuspectLimits.DEFAULT, this::sendsAfterBlock, new SuspectLog(log));
        this.suspectExchange = new SuspectExchange(loop, store, peers, settings.nodeName(), suspects, clock, log);
        this.suspectWatch = watch(
                SuspectExchange.TABLE, "suspects", TableWatch.AfterGap.LIST, SUSPECTS_WAIT, metrics, suspectExchange);
        listenToEras(metrics);
        this.router = new RequestRouter(requestServices(random, metrics));
        this.callers = createCallerServer(loops);
        new ReadinessServer(loops, settings.readiness(), platform.readinessPath(), this::ready);
        registerGauges(metrics);
        this.eventLoopDelayMonitor =
                new EventLoopDelayMonitor(loop, clock, new LinkBacklogMonitor(link, clock, log), metrics, log);
        new AdminServer(loops, settings.metrics(), metrics.registry(), this::ready);
        log.line("started", "incarnation", incarnation, "domain", settings.failureDomain());
    }

    private StreamOrigins createStreamOrigins(EntryMetrics metrics) {
        return new StreamOrigins(
                new StreamOriginExchange(loop, peers, homeEntries, clock, metrics),
                registry,
                configuration::inForce,
                backendWatch.view(),
                loop,
                clock);
    }

    private CallerServer createCallerServer(EventLoopGroup loops) throws PeerException {
        return new CallerServer(
                loops,
                settings.callers(),
                router,
                this::limits,
                memory,
                clock,
                gracefulStop::stopping,
                platform.headers(),
                incompleteAnswers);
    }

    private MemberRegister createMemberRegister(String incarnation) {
        return new MemberRegister(
                loop, store, settings.nodeName(), incarnation, settings.peers(), clock, otherEntries -> {
                    homeEntries.updatePeers(otherEntries.live().stream()
                            .map(MemberRegister.Member::name)
                            .toList());
                    peers.members(otherEntries);
                });
    }

    private void listenToEras(EntryMetrics metrics) {
        store.listen(new EraLog(metrics, log));
        store.listen(new EraCheckedStore.Listener() {
            @Override
            public void eraChanged(long before, long now) {
                peers.storeRestored();
                tokens.storeRestored();
            }
        });
    }

    private TableWatch watchConfiguration(EntryMetrics metrics) {
        OperatorRows operatorRows = platform.operatorRows();
        return watch(
                operatorRows.configurationTable(),
                "configuration",
                TableWatch.AfterGap.LIST,
                TableWatch.WAIT,
                metrics,
                configuration,
                new EvacuationFeed(operatorRows, registry, log));
    }

    private TableWatch watchBackends(EntryMetrics metrics) {
        return watch(
                platform.operatorRows().backendTable(),
                "backends",
                TableWatch.AfterGap.CHANGES,
                TableWatch.WAIT,
                metrics,
                backends);
    }

    private BackendFleet createFleet(
            PermitCoordinator permitCoordinator,
            ColdReplicas cold,
            FleetShare share,
            Random random,
            EntryMetrics metrics) {
        return new BackendFleet(
                loop,
                registry,
                availability,
                permitCoordinator,
                cold,
                random,
                platform.headers(),
                clock,
                members::live,
                share,
                () -> this.settings.retries(),
                () -> this.settings.cold(),
                replica -> new AnswerDefectLog(log, metrics, replica));
    }

    private TableWatch watch(
            String table,
            String watcher,
            TableWatch.AfterGap afterGap,
            Duration wait,
            EntryMetrics metrics,
            TableWatch.Listener... listeners) {
        List<TableWatch.Listener> all = new ArrayList<>(List.of(listeners));
        all.add(new WatchLog(watcher, metrics, log));
        TableWatch watch = new TableWatch(loop, store, table, afterGap, wait, clock, all);
        viewAges.add(watcher, watch.view(), wait);
        return watch;
    }

    private RequestServices requestServices(Random random, EntryMetrics metrics) {
        RequestDigests digests = new RequestDigests(() -> peers.key().map(key -> key.derive(DIGEST_PURPOSE)));
        return new RequestServices(
                loop,
                clock,
                random,
                settings.failureDomain(),
                platform.headers(),
                configuration::inForce,
                fleet,
                tokens,
                streams,
                new CrashSuspectGuard(digests, suspects, suspectExchange, registry, clock, metrics, log),
                gracefulStop::accepts,
                link,
                memory,
                metrics,
                log);
    }

    private TokenAllocator createTokenAllocator(
            PrepaidLedger ledger, HomeEntries homeEntries, Random random, EntryMetrics metrics) {
        return new TokenAllocator(
                loop,
                store,
                ledger,
                settings.nodeName() + "@" + settings.callers().getHostString(),
                configuration::inForce,
                homeEntries,
                members::live,
                lending,
                witnesses,
                grants,
                knowledge,
                store::era,
                () -> members.possiblyLive().size() != 1,
                clock,
                DirectEntry::processAgeMillis,
                random,
                metrics,
                log);
    }

    private static long processAgeMillis() {
        return ManagementFactory.getRuntimeMXBean().getUptime();
    }

    /**
     * Returns whether this entry is the one in the fleet that sends a suspect again after its block has expired. No
     * entry does so before it has read the table of entries.
     */
    private boolean sendsAfterBlock(SuspectId suspect) {
        return RendezvousHash.order(suspect.text(), members.possiblyLive()).stream()
                .findFirst()
                .filter(settings.nodeName()::equals)
                .isPresent();
    }

    /**
     * Returns the entries that all other entries can reach. In a small fleet, these are all live entries, including
     * connected ones that the store does not list yet.
     */
    private Set<String> permitOwners() {
        if (members.possiblyLive().isEmpty()) {
            return Set.of();
        }
        Set<String> owners = new HashSet<>(homeEntries.holders());
        if (members.live() <= HomeEntries.ALL_CONNECTED) {
            owners.addAll(peers.connectedEntries());
        }
        return owners;
    }

    /** Returns the memory of a replica in tokens; 0 if it is not known. */
    private long memoryTokensOf(String replica) {
        return registry.find(replica)
                .flatMap(instance -> configuration.inForce().map(table -> table.service(instance.service())))
                .map(ServiceTraits::memoryTokens)
                .orElse(0L);
    }

    private void registerGauges(EntryMetrics metrics) {
        metrics.gauge("requests.running", callers::connectionsWithRequest);
        metrics.gauge("link.queued.ms", () -> link.queuedMillis(clock.getAsLong()));
        metrics.gauge("memory.held.bytes", memory::heldBytes);
        metrics.gauge("memory.waiting", memory::waitingCount);
        metrics.gauge("store.away", () -> tokens.storeUnreachable() ? 1 : 0);
        metrics.gauge("store.era", store::era);
        metrics.gauge("entries.live", members::live);
        metrics.gauge("entries.connected", peers::connected);
        metrics.gauge("backends.leaving", availability::shuttingDownCount);
        metrics.gauge("backends.resting", () -> availability.backingOffCount(clock.getAsLong()));
        metrics.gauge("backends.limited", permits.coordinator().limits()::count);
        metrics.gauge("suspects", suspects::suspects);
        for (SuspectId.Kind kind : List.of(SuspectId.Kind.REQUEST, SuspectId.Kind.PROMPT_PART)) {
            metrics.gauge("suspects.blocked", "kind", kind.name(), () -> suspects.blocked(kind));
        }
        metrics.gauge("log.lines.dropped", log::dropped);
    }

    /** Starts all parts of the entry. Has to be called on the event loop. */
    void start() {
        configurationWatch.start();
        backendWatch.start();
        suspectWatch.start();
        suspectExchange.start();
        members.start();
        lending.start(tokens.lender());
        witnesses.start();
        grants.start();
        streams.start();
        permits.start();
        peers.start();
        placementExchange.start();
        tokens.start();
        eventLoopDelayMonitor.start();
        loop.scheduleAtFixedRate(
                this::cleanUp, CLEANUP_INTERVAL_MILLIS, CLEANUP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(
                () -> reload("look"), RELOAD_INTERVAL_MILLIS, RELOAD_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Reads the settings again. If they cannot be read, the previous settings remain in force. Has to be called on the
     * event loop.
     */
    void reload(String cause) {
        try {
            NodeSettings read = platform.readSettings();
            if (!read.equals(settings)) {
                settings = read;
                log.line(
                        "settings_changed",
                        "cause",
                        cause,
                        "grace_ms",
                        read.stopGracePeriod().toMillis());
            }
        } catch (SettingsException e) {
            log.line("settings_unreadable", "cause", cause, "reason", String.valueOf(e.getMessage()));
        }
    }

    /** Returns the time after which the process is killed. May be called from any thread. */
    Duration stopGracePeriod() {
        return settings.stopGracePeriod();
    }

    /**
     * Stops the entry and lets running requests finish within the grace period. Has to be called on the event loop.
     *
     * @return future that completes when the process may exit
     */
    CompletableFuture<Void> stop() {
        members.stop();
        return gracefulStop.start(callers, router::runningStreams, tokens);
    }

    /**
     * Returns whether the entry accepts requests. The wait for leases is limited, because requests that need no lease
     * can be served without them.
     */
    private boolean ready() {
        boolean leasesReady = tokens.renewedOnce() || clock.getAsLong() > MAX_LEASE_WAIT.toMillis();
        return !gracefulStop.stopping()
                && leasesReady
                && peerReadiness.ready()
                && configuration.inForce().isPresent()
                && backends.loaded();
    }

    private long configurationVersion() {
        return configuration.inForce().map(RouteTable::version).orElse(-1L);
    }

    private CallerLimits limits() {
        return configuration
                .inForce()
                .map(RouteTable::configuration)
                .map(each -> each.limits())
                .orElse(CallerLimits.DEFAULT);
    }

    private void cleanUp() {
        registry.expire(clock.getAsLong()).forEach(id -> log.line("backend_lapsed", "backend", id));
        fleet.removeStale();
        streams.update();
        softwareVersions.check();
        viewAges.check();
        memory.refuseOverdue();
        callers.closeOverdue();
    }
}
