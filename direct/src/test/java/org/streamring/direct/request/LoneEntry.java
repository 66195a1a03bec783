package org.streamring.direct.request;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.LongSupplier;
import org.streamring.direct.TestHeaders;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.memory.BodyMemory;
import org.streamring.direct.metrics.AnswerDefectLog;
import org.streamring.direct.metrics.EntryMetrics;
import org.streamring.direct.peer.EntryPeers;
import org.streamring.direct.peer.PermitExchange;
import org.streamring.direct.peer.StreamOriginExchange;
import org.streamring.direct.suspect.SuspectExchange;
import org.streamring.direct.suspect.SuspectLog;
import org.streamring.kernel.admission.LinkBacklog;
import org.streamring.kernel.availability.BackendAvailability;
import org.streamring.kernel.limit.FleetShare;
import org.streamring.kernel.memory.MemoryLimits;
import org.streamring.kernel.permit.PermitCoordinator;
import org.streamring.kernel.placement.ColdReplicas;
import org.streamring.kernel.prepaid.HomeEntries;
import org.streamring.kernel.registry.BackendRegistry;
import org.streamring.kernel.route.RouteTable;
import org.streamring.kernel.store.RowStore;
import org.streamring.kernel.store.StoreView;
import org.streamring.kernel.suspect.SuspectLimits;
import org.streamring.kernel.suspect.SuspectTable;
import org.streamring.model.route.RoutingConfiguration;
import org.streamring.net.peer.PeerIdentity;
import org.streamring.platform.node.NodeSettings;

/** What requests need of an entry that has no other entries, and no store that answers. */
final class LoneEntry implements AutoCloseable {
    static final String NAME = "entry-1";

    final BackendAvailability availability;
    final BackendRegistry registry;
    final PermitCoordinator permits;
    final ColdReplicas cold;
    final BackendFleet fleet;
    final StoreView backends = new StoreView();
    final RequestServices services;
    final SuspectTable suspects;
    /** Secret for the digests of requests; without it, no crash is counted against a request. */
    volatile Optional<byte[]> secret = Optional.empty();

    private final LongSupplier clock;
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final DecisionLog log = new DecisionLog(logged, NAME);
    private volatile RouteTable routes;

    /**
     * Creates an entry.
     *
     * @param loop event loop to which the requests are confined
     * @param peerLoops event loops of the connections to other entries
     */
    LoneEntry(
            EventLoop loop,
            EventLoopGroup peerLoops,
            LongSupplier clock,
            TokenSource tokens,
            RoutingConfiguration configuration) {
        this.clock = clock;
        this.routes = new RouteTable(configuration);
        RowStore store = new UnresponsiveStore();
        EntryMetrics metrics = new EntryMetrics();
        PeerIdentity identity = new PeerIdentity(PeerIdentity.Role.ENTRY, NAME, NAME + ".a");
        EntryPeers peers = new EntryPeers(
                peerLoops, loop, store, new InetSocketAddress(0), identity, new HomeEntries(NAME), metrics, log);
        availability = new BackendAvailability(() -> 2_000, new AvailabilityLog(log));
        registry = new BackendRegistry(2_000, availability);
        permits = new PermitExchange(loop, peers, NAME, Set::of, clock, metrics, log, new LimitLog(log, metrics))
                .coordinator();
        cold = new ColdReplicas(NAME, () -> Set.of(NAME), onlyEntry(() -> 0));
        fleet = fleet(loop, metrics);
        suspects = new SuspectTable(SuspectLimits.DEFAULT, digest -> true, new SuspectLog(log));
        StreamOrigins streams = new StreamOrigins(
                new StreamOriginExchange(loop, peers, new HomeEntries(NAME), clock, metrics),
                registry,
                () -> Optional.of(routes),
                backends,
                loop,
                clock);
        services = new RequestServices(
                loop,
                clock,
                new Random(1),
                "hall",
                TestHeaders.NAMES,
                () -> Optional.of(routes),
                fleet,
                tokens,
                streams,
                crashSuspectGuard(loop, store, peers, metrics),
                route -> true,
                new LinkBacklog(OptionalLong::empty),
                new BodyMemory(loop, clock, new MemoryLimits(100_000_000), metrics, log),
                metrics,
                log);
    }

    private BackendFleet fleet(EventLoop loop, EntryMetrics metrics) {
        return new BackendFleet(
                loop,
                registry,
                availability,
                permits,
                cold,
                new Random(1),
                TestHeaders.NAMES,
                clock,
                () -> 1,
                onlyEntry(clock),
                () -> new NodeSettings.RetryLimit(0.2, 10, Duration.ofSeconds(10)),
                () -> new NodeSettings.ColdMargin(1, 1),
                replica -> new AnswerDefectLog(log, metrics, replica));
    }

    private static FleetShare onlyEntry(LongSupplier sinceStart) {
        return new FleetShare(() -> new FleetShare.View(1, 0, FleetShare.Start.FIRST), sinceStart);
    }

    private CrashSuspectGuard crashSuspectGuard(
            EventLoop loop, RowStore store, EntryPeers peers, EntryMetrics metrics) {
        return new CrashSuspectGuard(
                new RequestDigests(() -> secret),
                suspects,
                new SuspectExchange(loop, store, peers, NAME, suspects, clock, log),
                registry,
                clock,
                metrics,
                log);
    }

    /** Puts another configuration in force. */
    void configure(RoutingConfiguration configuration) {
        routes = new RouteTable(configuration);
    }

    /** Returns what was logged so far. */
    String logged() {
        return logged.toString(StandardCharsets.UTF_8);
    }

    /** Writes the lines that are not written yet; nothing is logged afterwards. */
    @Override
    public void close() throws InterruptedException {
        log.close();
    }
}
