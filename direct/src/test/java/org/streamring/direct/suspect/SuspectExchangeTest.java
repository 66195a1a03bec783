package org.streamring.direct.suspect;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.streamring.direct.feed.MemberRegister;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.metrics.EntryMetrics;
import org.streamring.direct.peer.EntryPeers;
import org.streamring.kernel.prepaid.HomeEntries;
import org.streamring.kernel.store.CommitResult;
import org.streamring.kernel.store.RowChange;
import org.streamring.kernel.store.RowKey;
import org.streamring.kernel.store.RowPage;
import org.streamring.kernel.store.RowStore;
import org.streamring.kernel.store.StorePosition;
import org.streamring.kernel.store.StoredRow;
import org.streamring.kernel.suspect.RequestTraits;
import org.streamring.kernel.suspect.SentAttempt;
import org.streamring.kernel.suspect.SuspectId;
import org.streamring.kernel.suspect.SuspectLimits;
import org.streamring.kernel.suspect.SuspectTable;
import org.streamring.net.peer.PeerIdentity;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against crashes that are forgotten when the entry that observed them ends while the store takes no writes. */
public class SuspectExchangeTest {
    private static final RequestTraits REQUEST =
            new RequestTraits(SuspectId.request("r-1"), List.of(), SuspectId.account("hotel"));
    /** Longer than an observation waits before it is told to the entries that are connected. */
    private static final long TOLD_MILLIS = 300;

    private NioEventLoopGroup loops;
    private Entry observer;
    private Entry other;

    /** Connections and suspects of one entry, whose store can be read but takes no writes. */
    private final class Entry {
        private final ByteArrayOutputStream log = new ByteArrayOutputStream();
        private final InetSocketAddress address;
        private final EntryPeers peers;
        private final SuspectTable table;
        private final SuspectExchange exchange;

        private Entry(String name) throws Exception {
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
            DecisionLog lines = new DecisionLog(log, name);
            RowStore store = new ReadOnlyStore();
            PeerIdentity own = new PeerIdentity(PeerIdentity.Role.ENTRY, name, name + ".a");
            peers = new EntryPeers(
                    loops, loops.next(), store, address, own, new HomeEntries(name), new EntryMetrics(), lines);
            table = new SuspectTable(SuspectLimits.DEFAULT, suspect -> true, new SuspectLog(lines));
            exchange = new SuspectExchange(loops.next(), store, peers, name, table, () -> 1_000, lines);
        }

        private void start(List<MemberRegister.Member> others) throws Exception {
            onLoop(() -> {
                exchange.start();
                exchange.onList(List.of());
                peers.members(new MemberRegister.OtherEntries(others, List.of()));
                peers.start();
                return true;
            });
        }

        private void observeCrash(String server) throws Exception {
            onLoop(() -> {
                SentAttempt attempt = table.sent(REQUEST, server, 1_000);
                table.ended(attempt, true);
                table.brokeOff(attempt, false, 1_000);
                table.confirmed(server, 1_000);
                exchange.scheduleReport();
                return true;
            });
        }
    }

    private static final class ReadOnlyStore implements RowStore {
        private static final StoredRow KEY =
                new StoredRow(new RowKey("streamring-fleet", "", "key"), "a-key-of-the-fleet-for-tests", 1, false);

        @Override
        public CompletableFuture<CommitResult> commit(List<RowChange> changes) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<RowPage> list(String table, String partition) {
            return CompletableFuture.completedFuture(new RowPage(List.of(KEY), StorePosition.withoutEra(1), 0, false));
        }

        @Override
        public CompletableFuture<RowPage> watch(String table, StorePosition since, Duration wait) {
            return new CompletableFuture<>();
        }
    }

    @BeforeMethod
    public void setUp() throws Exception {
        loops = new NioEventLoopGroup(1);
        observer = new Entry("entry-1");
        other = new Entry("entry-2");
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loops.next().submit(task).get(5, TimeUnit.SECONDS);
    }

    @Test
    public void crashesThatTheStoreHasNotTakenAreToldToAnEntryThatConnectsLater() throws Exception {
        observer.start(List.of());
        observer.observeCrash("i-1@1");
        observer.observeCrash("i-2@1");
        Thread.sleep(TOLD_MILLIS);
        other.start(List.of(new MemberRegister.Member("entry-1", observer.address)));
        Awaitility.await()
                .until(() -> other.log.toString(StandardCharsets.UTF_8).contains("peer_connected"));
        Awaitility.await()
                .atMost(Duration.ofSeconds(3))
                .until(() -> onLoop(other.table::suspects), count -> count == 1);
        other.observeCrash("i-3@1");
        assertThat(onLoop(() -> other.table.decide(REQUEST, 1_000).maySend()))
                .as("both crashes count at the other entry")
                .isFalse();
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
