package org.streamring.direct.feed;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.streamring.kernel.store.CommitResult;
import org.streamring.kernel.store.RowChange;
import org.streamring.kernel.store.RowKey;
import org.streamring.kernel.store.RowPage;
import org.streamring.kernel.store.RowStore;
import org.streamring.kernel.store.StoreException;
import org.streamring.kernel.store.StoredRow;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class TableWatchTest {
    /** A replica serves for 2 s after it left, of which half a second is left for the way to it. */
    private static final long KNOWN_WITHIN_MILLIS = 1_500;

    private EmbeddedChannel time;
    private SlowStore store;
    private Heard heard;
    private TableWatch watch;

    @BeforeMethod
    public void setUp() {
        time = new EmbeddedChannel();
        time.freezeTime();
        store = new SlowStore();
        heard = new Heard();
        watch = new TableWatch(
                time.eventLoop(), store, "servers", TableWatch.AfterGap.CHANGES, TableWatch.WAIT, List.of(heard));
        watch.start();
        store.lists.get(0).complete(new RowPage(List.of(), 1, 0, false));
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() {
        time.close();
    }

    @Test
    public void aChangeIsKnownInTimeWhereOneCallHangs() {
        advance(KNOWN_WITHIN_MILLIS);
        assertThat(store.watches).as("calls").hasSize(2);
        store.watches.get(1).complete(change(2));
        assertThat(heard.changed).containsExactly(2L);
    }

    @Test
    public void noSecondCallIsMadeWhereTheFirstIsAnswered() {
        advance(TableWatch.WAIT.toMillis() + 5);
        store.watches.get(0).complete(new RowPage(List.of(), 1, 0, false));
        advance(TableWatch.WAIT.toMillis());
        assertThat(store.watches).as("the first, and the one after it").hasSize(2);
    }

    @Test
    public void theAnswerOfTheCallThatHungChangesNothingMore() {
        advance(KNOWN_WITHIN_MILLIS);
        store.watches.get(1).complete(change(2));
        store.watches.get(0).complete(change(2));
        assertThat(heard.changed).containsExactly(2L);
        assertThat(store.watches).hasSize(3);
    }

    @Test
    public void aCallThatFailsIsFollowedByAnotherAlsoWhereTheSecondIsStillSilent() {
        advance(KNOWN_WITHIN_MILLIS);
        store.watches.get(0).completeExceptionally(new StoreException("watch", "no answer in time", false));
        assertThat(heard.lost).isEqualTo(1);
        advance(250);
        assertThat(store.watches).hasSize(3);
        store.watches.get(2).complete(change(2));
        store.watches.get(1).completeExceptionally(new StoreException("watch", "no answer in time", false));
        assertThat(heard.changed).containsExactly(2L);
        assertThat(heard.lost).isEqualTo(1);
    }

    @Test
    public void noSecondCallIsMadeAfterTheEnd() {
        watch.stop();
        advance(KNOWN_WITHIN_MILLIS);
        assertThat(store.watches).hasSize(1);
    }

    private void advance(long millis) {
        for (long i = 0; i < millis; i++) {
            time.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            time.runScheduledPendingTasks();
        }
    }

    private static RowPage change(long version) {
        StoredRow row = new StoredRow(new RowKey("servers", "", "i-1"), "draining", version, false);
        return new RowPage(List.of(row), version, 0, false);
    }

    private static final class Heard implements TableWatch.Listener {
        private final List<Long> changed = new ArrayList<>();
        private int lost;

        @Override
        public void listed(List<StoredRow> rows) {
            rows.forEach(this::changed);
        }

        @Override
        public void changed(StoredRow row) {
            changed.add(row.version());
        }

        @Override
        public void lost(String reason) {
            lost++;
        }
    }

    /** Its calls are answered by the test. */
    private static final class SlowStore implements RowStore {
        private final List<CompletableFuture<RowPage>> lists = new ArrayList<>();
        private final List<CompletableFuture<RowPage>> watches = new ArrayList<>();

        @Override
        public CompletableFuture<CommitResult> commit(List<RowChange> changes) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<RowPage> list(String table, String partition) {
            lists.add(new CompletableFuture<>());
            return lists.get(lists.size() - 1);
        }

        @Override
        public CompletableFuture<RowPage> watch(String table, long sinceVersion, Duration wait) {
            watches.add(new CompletableFuture<>());
            return watches.get(watches.size() - 1);
        }
    }
}
