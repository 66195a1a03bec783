package org.streamring.direct.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.awaitility.Awaitility;
import org.streamring.direct.feed.MemberRegister;
import org.streamring.direct.ledger.Lenders;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.metrics.EntryMetrics;
import org.streamring.kernel.prepaid.HomeEntries;
import org.streamring.kernel.store.CommitResult;
import org.streamring.kernel.store.RowChange;
import org.streamring.kernel.store.RowKey;
import org.streamring.kernel.store.RowPage;
import org.streamring.kernel.store.RowStore;
import org.streamring.kernel.store.StorePosition;
import org.streamring.kernel.store.StoredRow;
import org.streamring.net.peer.PeerIdentity;
import org.streamring.standin.proxy.FaultProxy;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests connections between entries on which the peer stops answering without closing them.
 *
 * <p>Guards against this failure: in a fleet of 30 entries all open connections became silent without a reset. An entry
 * that was no home entry of an account continued to ask its home entries over these connections, got no answer, and
 * refused requests for prepaid tokens although the account had free tokens: 7,285 of 7,286 {@code tokens_refused} lines
 * had the reason {@code lease_not_in_time}. Only 30 to 39 of 100 such requests were served instead of 95, while plain
 * calls were not affected. Idle connections carried no traffic, and a connection was closed only after three minutes of
 * silence, so that a dead one was not distinguished from an idle one and not replaced.
 */
public class SilentPeersTest {
    private static final String ACCOUNT = "hotel";
    private static final long LOAN = 700;
    /** A silent connection is detected after 1.5 s. A pause, the new connection and its handshake follow. */
    private static final Duration RECONNECT_TIMEOUT = Duration.ofSeconds(3);

    /** Longer than the time after which the next lender is asked. */
    private static final long LATE_MILLIS = 200;

    private static final Lenders.Loan LATE_PART = new Lenders.Loan(LOAN / 2, true);

    private NioEventLoopGroup loops;
    private volatile boolean lendsLate;
    private Entry borrower;
    private Entry lender;
    private FaultProxy proxy;

    /** Connections and token lending of one entry. */
    private final class Entry {
        private final ByteArrayOutputStream log = new ByteArrayOutputStream();
        private final AtomicInteger latePromises = new AtomicInteger();
        private final InetSocketAddress address;
        private final EntryPeers peers;
        private final TokenLending lending;

        private Entry(String name, String other) throws Exception {
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
            DecisionLog lines = new DecisionLog(log, name);
            EntryMetrics metrics = new EntryMetrics();
            PeerIdentity own = new PeerIdentity(PeerIdentity.Role.ENTRY, name, name + ".a");
            peers = new EntryPeers(
                    loops, loops.next(), new KeyStore(), address, own, new HomeEntries(own.name()), metrics, lines);
            HomeEntries homeEntries = new HomeEntries(name);
            homeEntries.updatePeers(List.of(other));
            lending = new TokenLending(loops.next(), peers, homeEntries, new Random(1), metrics, lines);
            lending.start(new TestLender());
        }

        private void start(List<MemberRegister.Member> others) {
            run(() -> {
                peers.members(new MemberRegister.OtherEntries(others, List.of()));
                peers.start();
            });
        }

        private long borrow() throws Exception {
            AtomicLong lent = new AtomicLong();
            ask(lent);
            return lent.get();
        }

        private Lenders.Answers ask(AtomicLong lent) throws Exception {
            CompletableFuture<Lenders.Answers> ended = new CompletableFuture<>();
            run(() -> lending.ask(
                    ACCOUNT, () -> LOAN - lent.get(), lent::addAndGet, ended::complete, latePromises::incrementAndGet));
            return ended.get(10, TimeUnit.SECONDS);
        }

        private boolean expectsLateAnswer(Lenders.Answers answers) {
            return loops.next()
                    .submit(() -> answers.lateAnswerExpected().getAsBoolean())
                    .syncUninterruptibly()
                    .getNow();
        }

        private void run(Runnable task) {
            loops.next().submit(task).syncUninterruptibly();
        }
    }

    /** Lends all tokens, or lends a part late and promises more. */
    private final class TestLender implements Lenders.Lender {
        @Override
        public void lend(String account, long asked, Consumer<Lenders.Loan> then) {
            if (lendsLate) {
                loops.next().schedule(() -> then.accept(LATE_PART), LATE_MILLIS, TimeUnit.MILLISECONDS);
            } else {
                then.accept(new Lenders.Loan(asked, false));
            }
        }

        @Override
        public void takeBack(String account, long tokens) {}
    }

    /** Store that contains only the key of the fleet. */
    private static final class KeyStore implements RowStore {
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
    public void connect() throws Exception {
        lendsLate = false;
        loops = new NioEventLoopGroup(1);
        borrower = new Entry("entry-1", "entry-2");
        lender = new Entry("entry-2", "entry-1");
        proxy = new FaultProxy(lender.address.getPort());
        lender.start(List.of());
        borrower.start(List.of(new MemberRegister.Member(
                "entry-2", new InetSocketAddress(InetAddress.getLoopbackAddress(), proxy.port()))));
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> borrower.borrow() == LOAN);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        proxy.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @Test
    public void anEntryBorrowsAgainSoonAfterItsOpenConnectionsBecameSilent() {
        proxy.silenceOpenConnections();

        Awaitility.await().atMost(RECONNECT_TIMEOUT).until(() -> borrower.borrow() == LOAN);
    }

    @Test
    public void bothSidesLogThatTheConnectionBecameSilent() {
        proxy.silenceOpenConnections();

        Awaitility.await().atMost(RECONNECT_TIMEOUT).untilAsserted(() -> {
            assertThat(text(borrower)).contains("peer_lost").contains("SILENT");
            assertThat(text(lender)).contains("peer_lost").contains("SILENT");
        });
    }

    @Test
    public void anAnswerIsExpectedUntilTheConnectionToTheLenderIsTakenForSilent() throws Exception {
        assertThat(borrower.expectsLateAnswer(borrower.ask(new AtomicLong()))).isFalse();
        proxy.silenceOpenConnections();

        Lenders.Answers answers = borrower.ask(new AtomicLong());
        assertThat(borrower.expectsLateAnswer(answers)).isTrue();
        Awaitility.await().atMost(RECONNECT_TIMEOUT).until(() -> !borrower.expectsLateAnswer(answers));
    }

    @Test
    public void aBorrowerHearsThatALenderWhichLentAPartLateMaySoonHaveMore() throws Exception {
        lendsLate = true;
        AtomicLong lent = new AtomicLong();
        Lenders.Answers answers = borrower.ask(lent);
        assertThat(answers.answered()).isZero();
        Awaitility.await().atMost(RECONNECT_TIMEOUT).until(() -> borrower.latePromises.get() == 1);
        assertThat(lent).hasValue(LOAN / 2);
    }

    @Test
    public void anIdleConnectionIsKept() throws Exception {
        Thread.sleep(RECONNECT_TIMEOUT.toMillis() + 1_000);

        assertThat(text(borrower)).doesNotContain("peer_lost");
        assertThat(borrower.borrow()).isEqualTo(LOAN);
    }

    private static String text(Entry entry) {
        return entry.log.toString(StandardCharsets.UTF_8);
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
