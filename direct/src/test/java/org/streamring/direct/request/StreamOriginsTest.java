package org.streamring.direct.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.metrics.EntryMetrics;
import org.streamring.direct.peer.EntryPeers;
import org.streamring.direct.peer.StreamOriginExchange;
import org.streamring.kernel.availability.BackendAvailability;
import org.streamring.kernel.prepaid.HomeEntries;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.kernel.registry.BackendRegistry;
import org.streamring.kernel.route.RouteTable;
import org.streamring.kernel.store.StorePosition;
import org.streamring.kernel.store.StoreView;
import org.streamring.kernel.stream.StreamOrigin;
import org.streamring.model.route.CallerLimits;
import org.streamring.model.route.Route;
import org.streamring.model.route.RoutingConfiguration;
import org.streamring.net.peer.PeerIdentity;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class StreamOriginsTest {
    private static final long HOUR_MILLIS = 3_600_000;
    private static final long PERIOD_MILLIS = 30_000;
    private static final Route ROUTE = TestRoutes.RESUMABLE_STREAMS;

    private EmbeddedChannel time;
    private NioEventLoopGroup loops;
    private DecisionLog log;
    private final StoreView backends = new StoreView();
    private long nowMillis;
    private StreamOrigins origins;

    @BeforeMethod
    public void setUp() {
        time = new EmbeddedChannel();
        time.freezeTime();
        loops = new NioEventLoopGroup(1);
        log = new DecisionLog(OutputStream.nullOutputStream(), "entry-1");
        nowMillis = 0;
        BackendRegistry registry = new BackendRegistry(0, new BackendAvailability(() -> 0, new AvailabilityLog(log)));
        registry.put(new BackendInstance("i-1", "assist", "10.0.0.1", 1, "hall", 8, true, 0, 0, "v1"), 0);
        EntryMetrics metrics = new EntryMetrics();
        EntryPeers peers = new EntryPeers(
                loops,
                time.eventLoop(),
                new UnresponsiveStore(),
                new InetSocketAddress(0),
                new PeerIdentity(PeerIdentity.Role.ENTRY, "entry-1", "entry-1.a"),
                new HomeEntries("entry-1"),
                metrics,
                log);
        RouteTable routes =
                new RouteTable(new RoutingConfiguration(1, List.of(ROUTE), List.of(), List.of(), CallerLimits.DEFAULT));
        origins = new StreamOrigins(
                new StreamOriginExchange(time.eventLoop(), peers, new HomeEntries("entry-1"), () -> nowMillis, metrics),
                registry,
                () -> Optional.of(routes),
                backends,
                time.eventLoop(),
                () -> nowMillis);
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws InterruptedException {
        time.close();
        loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        log.close();
    }

    /** Routes were once recorded only when the configuration changed, and forgotten while it stayed the same. */
    @Test
    public void theOnlyOriginIsKnownHoweverLongTheConfigurationStaysTheSame() {
        backends.confirm(new StorePosition(1, 1), 0);
        for (nowMillis = 0; nowMillis < HOUR_MILLIS; nowMillis += 1_000) {
            origins.update();
        }
        assertThat(origins.onlyPossible(ROUTE, "", PERIOD_MILLIS)).contains(new StreamOrigin("assist", "v1", ""));
    }

    @Test
    public void theListIsCurrentOnceTheStoreHasConfirmedItAfterTheRequest() {
        nowMillis = 10_000;
        backends.confirm(new StorePosition(1, 1), 9_900);
        List<Boolean> results = new ArrayList<>();
        origins.awaitCurrentBackends(nowMillis, results::add);
        advance(100);
        assertThat(results).isEmpty();
        backends.confirm(new StorePosition(1, 1), nowMillis);
        advance(100);
        assertThat(results).containsExactly(true);
    }

    @Test
    public void aListThatIsNotConfirmedInTimeIsNotCurrent() {
        nowMillis = 10_000;
        backends.confirm(new StorePosition(1, 1), 9_900);
        List<Boolean> results = new ArrayList<>();
        origins.awaitCurrentBackends(nowMillis, results::add);
        advance(StreamOrigins.MAX_CONFIRMATION_MILLIS + 100);
        assertThat(results).containsExactly(false);
    }

    @Test
    public void nothingWaitsForAStoreThatIsAway() {
        nowMillis = 10_000;
        backends.confirm(new StorePosition(1, 1), 5_000);
        List<Boolean> results = new ArrayList<>();
        origins.awaitCurrentBackends(nowMillis, results::add);
        assertThat(results).containsExactly(false);
    }

    private void advance(long millis) {
        for (long each = 0; each < millis; each++) {
            nowMillis++;
            time.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            time.runPendingTasks();
        }
    }
}
