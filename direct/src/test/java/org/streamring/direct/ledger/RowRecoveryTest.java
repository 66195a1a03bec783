package org.streamring.direct.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.OutputStream;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.prepaid.AccountKnowledge;
import org.streamring.kernel.store.StorePosition;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests an entry whose store was restored from an older copy, in simulated time. */
public class RowRecoveryTest {
    private static final long ERA = 4;
    private static final long FIRST_CONNECTIONS_MILLIS = 1_000;

    private EmbeddedChannel time;
    private DecisionLog log;
    private LeaseReader reader;
    private RowRecovery recovery;
    private int collections;

    @BeforeMethod
    public void setUp() {
        time = new EmbeddedChannel();
        time.freezeTime();
        EventLoop loop = time.eventLoop();
        log = new DecisionLog(OutputStream.nullOutputStream(), "entry");
        LeaseRows rows = new LeaseRows(log, "box", new AccountKnowledge());
        reader = new LeaseReader(loop, new SlowRows(loop, () -> 0, 0), rows, () -> 0, new ReadRows());
        collections = 0;
        recovery = new RowRecovery(loop, reader, rows, new CountingCopies(), () -> ERA, () -> true, () -> 0, log);
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws InterruptedException {
        time.close();
        log.close();
    }

    @Test
    public void theFirstRowsOfAnOlderEraAreUsedOnceOthersWereAsked() {
        reader.read();
        assertThat(recovery.inProgress()).isTrue();
        advance(FIRST_CONNECTIONS_MILLIS);
        assertThat(recovery.inProgress()).isFalse();
        assertThat(collections).isEqualTo(1);
    }

    /** Guards against an entry that never leases again, found by a soak: "only 0 of 40 requests were served". */
    @Test
    public void anEraThatChangesBeforeTheFirstRowsAreReadDoesNotStopLeasesForGood() {
        recovery.storeRestored();
        assertThat(recovery.inProgress())
                .as("others are asked again once connected")
                .isTrue();
        advance(FIRST_CONNECTIONS_MILLIS);
        assertThat(recovery.inProgress()).isFalse();
        assertThat(collections).isEqualTo(2);
    }

    private void advance(long millis) {
        time.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        time.runPendingTasks();
    }

    private final class ReadRows implements LeaseReader.Listener {
        @Override
        public void readAnswered(long storeMillis, long sentMillis) {}

        @Override
        public void rowsRead(long storeMillis) {
            recovery.rowsRead();
        }

        @Override
        public void readFailed(Throwable failure) {
            throw new IllegalStateException(failure);
        }
    }

    /** Stands for no connected entry. */
    private final class CountingCopies implements GrantCopies {
        @Override
        public CompletableFuture<Boolean> keep(Map<String, Long> grants, StorePosition position) {
            return CompletableFuture.completedFuture(true);
        }

        @Override
        public CompletableFuture<Integer> collect() {
            collections++;
            return CompletableFuture.completedFuture(0);
        }
    }
}
