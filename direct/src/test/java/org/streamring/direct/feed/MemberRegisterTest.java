package org.streamring.direct.feed;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.awaitility.Awaitility;
import org.streamring.kernel.limit.FleetShare;
import org.streamring.kernel.store.CommitResult;
import org.streamring.kernel.store.RowChange;
import org.streamring.kernel.store.RowKey;
import org.streamring.kernel.store.RowPage;
import org.streamring.kernel.store.RowStore;
import org.streamring.kernel.store.StorePosition;
import org.streamring.kernel.store.StoredRow;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class MemberRegisterTest {
    private static final InetSocketAddress OWN = new InetSocketAddress(InetAddress.getLoopbackAddress(), 7340);

    private DefaultEventLoop loop;
    private FakeRowStore rows;
    private BlockingQueue<MemberRegister.OtherEntries> received;
    private MemberRegister register;

    @BeforeMethod
    public void setUp() {
        loop = new DefaultEventLoop();
        rows = new FakeRowStore();
        received = new LinkedBlockingQueue<>();
        register =
                new MemberRegister(loop, rows, "entry-1", "entry-1.a", OWN, System::currentTimeMillis, received::add);
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() {
        loop.shutdownGracefully();
    }

    @Test
    public void aStoppedEntryIsAbsentButKeepsItsAddress() throws InterruptedException {
        rows.addRow("entry-1", "entry-1.old 127.0.0.1:7340");
        rows.addRow("entry-2", "entry-2.a 127.0.0.2:7340");
        rows.addRow("entry-3", "stopped 127.0.0.3:7340");
        loop.execute(register::start);

        MemberRegister.OtherEntries otherEntries = received.poll(5, TimeUnit.SECONDS);
        assertThat(otherEntries.live())
                .containsExactly(new MemberRegister.Member("entry-2", new InetSocketAddress("127.0.0.2", 7340)));
        assertThat(otherEntries.absent())
                .containsExactly(new MemberRegister.Member("entry-3", new InetSocketAddress("127.0.0.3", 7340)));
        assertThat(register.live()).isEqualTo(2);
    }

    @Test
    public void theStopOfAnEntryIsWrittenWithItsAddress() throws InterruptedException {
        loop.execute(register::start);
        received.poll(5, TimeUnit.SECONDS);
        loop.execute(register::stop);

        assertThat(rows.written.poll(5, TimeUnit.SECONDS)).isEqualTo("entry-1.a 127.0.0.1:7340");
        assertThat(rows.written.poll(5, TimeUnit.SECONDS)).isEqualTo("stopped 127.0.0.1:7340");
    }

    @Test
    public void aStoppedEntryIsStillPossiblyLiveAfterTheFirstReading() throws InterruptedException {
        assertThat(register.possiblyLive())
                .as("no entries before the table was read")
                .isEmpty();
        rows.addRow("entry-2", "entry-2.a 127.0.0.2:7340");
        rows.addRow("entry-3", "stopped 127.0.0.3:7340");
        loop.execute(register::start);
        received.poll(5, TimeUnit.SECONDS);
        assertThat(register.possiblyLive()).containsExactlyInAnyOrder("entry-1", "entry-2", "entry-3");
    }

    @Test
    public void unreadableRowsAreNotReportedAsEntries() throws InterruptedException {
        rows.addRow("entry-2", "stopped");
        rows.addRow("entry-3", "entry-3.a 127.0.0.3:port");
        loop.execute(register::start);

        MemberRegister.OtherEntries otherEntries = received.poll(5, TimeUnit.SECONDS);
        assertThat(otherEntries.live()).isEmpty();
        assertThat(otherEntries.absent()).isEmpty();
    }

    /** Guards against writes that conflict for ever because the own row was lost when the store was restored. */
    @Test
    public void theOwnRowIsWrittenAgainIfARestoredStoreHasLostIt() throws InterruptedException {
        rows.addRow("entry-1", "entry-1.old 127.0.0.1:7340");
        loop.execute(register::start);
        received.poll(5, TimeUnit.SECONDS);
        rows.rows.clear();
        received.poll(5, TimeUnit.SECONDS);
        rows.written.poll(5, TimeUnit.SECONDS);
        rows.written.poll(5, TimeUnit.SECONDS);
        assertThat(rows.expectedVersions.poll(5, TimeUnit.SECONDS)).isEqualTo(1);
        assertThat(rows.expectedVersions.poll(5, TimeUnit.SECONDS)).isZero();
    }

    @Test
    public void theFirstProcessOfAFleetIsAloneInTheTableThatHoldsItsRow() {
        loop.execute(register::start);
        Awaitility.await().until(() -> register.view().start() == FleetShare.Start.FIRST);
        assertThat(register.view().entries()).isEqualTo(1);
    }

    @Test
    public void aProcessWhoseBoxIsListedIsRestarted() throws InterruptedException {
        rows.addRow("entry-1", "entry-1.old 127.0.0.1:7340");
        loop.execute(register::start);
        received.poll(5, TimeUnit.SECONDS);
        received.poll(5, TimeUnit.SECONDS);
        assertThat(register.view().start()).isEqualTo(FleetShare.Start.RESTARTED);
    }

    @Test
    public void aProcessWhoseBoxIsNotListedJoinsTheOthers() throws InterruptedException {
        rows.addRow("entry-2", "entry-2.a 127.0.0.2:7340");
        loop.execute(register::start);
        received.poll(5, TimeUnit.SECONDS);
        received.poll(5, TimeUnit.SECONDS);
        assertThat(register.view().start()).isEqualTo(FleetShare.Start.JOINED);
    }

    @Test
    public void theFirstProcessOfAFleetIsAloneAlsoIfItsFirstWriteWasNotConfirmed() {
        rows.unconfirmedWrites.set(1);
        loop.execute(register::start);
        Awaitility.await().until(() -> register.view().start() != FleetShare.Start.JOINED);
        assertThat(register.view().start()).isEqualTo(FleetShare.Start.FIRST);
    }

    @Test
    public void aProcessWhoseFirstWriteWasNotConfirmedJoinsTheOthers() throws InterruptedException {
        rows.addRow("entry-2", "entry-2.a 127.0.0.2:7340");
        rows.unconfirmedWrites.set(1);
        loop.execute(register::start);
        received.poll(5, TimeUnit.SECONDS);
        received.poll(5, TimeUnit.SECONDS);
        assertThat(register.view().start()).isEqualTo(FleetShare.Start.JOINED);
    }

    @Test
    public void theOtherEntriesAreKnownSoonAfterTheFirstReadingFailed() throws InterruptedException {
        rows.addRow("entry-2", "entry-2.a 127.0.0.2:7340");
        rows.failures.set(2);
        loop.execute(register::start);
        assertThat(received.poll(1_500, TimeUnit.MILLISECONDS)).isNotNull();
        assertThat(register.live()).isEqualTo(2);
    }

    @Test
    public void theTableIsNotReadMoreOftenWhileTheStoreIsAway() throws InterruptedException {
        rows.failures.set(Integer.MAX_VALUE);
        loop.execute(register::start);
        Thread.sleep(5_000);
        assertThat(rows.readings.get()).isLessThanOrEqualTo(6);
    }

    private static final class FakeRowStore implements RowStore {
        private final AtomicInteger failures = new AtomicInteger();
        private final AtomicInteger unconfirmedWrites = new AtomicInteger();
        private final AtomicInteger readings = new AtomicInteger();
        private final List<StoredRow> rows = new CopyOnWriteArrayList<>();
        private final BlockingQueue<String> written = new LinkedBlockingQueue<>();
        private final BlockingQueue<Long> expectedVersions = new LinkedBlockingQueue<>();

        private void addRow(String key, String value) {
            rows.add(new StoredRow(new RowKey("streamring-members", "", key), value, rows.size() + 1L, false));
        }

        @Override
        public CompletableFuture<CommitResult> commit(List<RowChange> changes) {
            expectedVersions.add(changes.get(0).expectedVersion());
            written.add(changes.get(0).value());
            if (unconfirmedWrites.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
                addRow(changes.get(0).key().key(), changes.get(0).value());
                return CompletableFuture.failedFuture(new IllegalStateException("the answer is lost"));
            }
            return CompletableFuture.completedFuture(
                    new CommitResult(true, StorePosition.withoutEra(100), 0, List.of()));
        }

        @Override
        public CompletableFuture<RowPage> list(String table, String partition) {
            readings.incrementAndGet();
            if (failures.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
                return CompletableFuture.failedFuture(new IllegalStateException("the store does not answer"));
            }
            return CompletableFuture.completedFuture(new RowPage(rows, StorePosition.withoutEra(100), 0, false));
        }

        @Override
        public CompletableFuture<RowPage> watch(String table, StorePosition since, Duration wait) {
            return new CompletableFuture<>();
        }
    }
}
