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
import org.streamring.kernel.store.StorePosition;
import org.streamring.kernel.store.StoredRow;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class TableWatchTest {
    /** A replica serves for 2 s after it announced its shutdown; 0.5 s of it is reserved for requests on their way. */
    private static final long MAX_NOTICE_DELAY_MILLIS = 1_500;

    private static final long REWRITE_MILLIS = 2_200;

    private EmbeddedChannel time;
    private long nowMillis;
    private ManualStore store;
    private RecordingListener listener;
    private TableWatch watch;

    @BeforeMethod
    public void setUp() {
        time = new EmbeddedChannel();
        time.freezeTime();
        store = new ManualStore();
        listener = new RecordingListener();
        watch = new TableWatch(
                time.eventLoop(),
                store,
                "servers",
                TableWatch.AfterGap.CHANGES,
                TableWatch.WAIT,
                () -> nowMillis,
                List.of(listener));
        watch.start();
        store.lists.get(0).complete(new RowPage(List.of(), StorePosition.withoutEra(1), 0, false));
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() {
        time.close();
    }

    @Test
    public void aChangeIsNoticedInTimeIfOneCallHangs() {
        advance(MAX_NOTICE_DELAY_MILLIS);
        assertThat(store.watches).as("calls").hasSize(2);
        store.watches.get(1).complete(change(2));
        assertThat(listener.changed).containsExactly(2L);
    }

    @Test
    public void noSecondCallIsSentIfTheFirstIsAnswered() {
        advance(TableWatch.WAIT.toMillis() + 5);
        store.watches.get(0).complete(new RowPage(List.of(), StorePosition.withoutEra(1), 0, false));
        advance(TableWatch.WAIT.toMillis());
        assertThat(store.watches).as("the first call and the one after it").hasSize(2);
    }

    @Test
    public void aLateAnswerToTheFirstCallIsIgnored() {
        advance(MAX_NOTICE_DELAY_MILLIS);
        store.watches.get(1).complete(change(2));
        store.watches.get(0).complete(change(2));
        assertThat(listener.changed).containsExactly(2L);
        assertThat(store.watches).hasSize(3);
    }

    @Test
    public void aFailedCallIsRetriedEvenIfTheSecondCallIsStillPending() {
        advance(MAX_NOTICE_DELAY_MILLIS);
        store.watches.get(0).completeExceptionally(new StoreException("watch", "no answer in time", false));
        assertThat(listener.lost).isEqualTo(1);
        advance(250);
        assertThat(store.watches).hasSize(3);
        store.watches.get(2).complete(change(2));
        store.watches.get(1).completeExceptionally(new StoreException("watch", "no answer in time", false));
        assertThat(listener.changed).containsExactly(2L);
        assertThat(listener.lost).isEqualTo(1);
    }

    @Test
    public void noSecondCallIsSentAfterTheWatchWasStopped() {
        watch.stop();
        advance(MAX_NOTICE_DELAY_MILLIS);
        assertThat(store.watches).hasSize(1);
    }

    @Test
    public void aListOfARestoredStoreIsUsedThoughItsVersionIsLower() {
        store.watches.get(0).complete(change(10));
        restore(2, "ready");
        assertThat(listener.restored).containsExactly(2L);
        assertThat(watch.view().position()).isEqualTo(new StorePosition(1, 2));
    }

    @Test
    public void changesOfARestoredStoreAreNoticedThoughTheirVersionsAreLower() {
        store.watches.get(0).complete(change(10));
        restore(2, "ready");
        store.watches.get(store.watches.size() - 1).complete(changeInEra(1, 3));
        assertThat(listener.changed).containsExactly(10L, 3L);
    }

    @Test
    public void aRestoredTableIsListedOnceMoreAfterItsRowsWereWrittenAgain() {
        restore(2, "ready");
        answerWatchesFor(REWRITE_MILLIS);
        assertThat(store.lists)
                .as("the first list, that after the restore, and the one after the rewrite")
                .hasSize(3);
        store.lists.get(2).complete(page(1, 5, "ready"));
        assertThat(listener.listed).as("rows of the last list").containsExactly(5L);
    }

    @Test
    public void aListOfTheSameEraThatIsOlderThanKnownIsNotUsed() {
        store.watches.get(0).complete(new RowPage(List.of(), StorePosition.withoutEra(9), 0, true));
        store.lists.get(1).complete(page(0, 0, "ready"));
        assertThat(listener.listed).isEmpty();
        assertThat(listener.dropped).isEqualTo(1);
    }

    private void restore(long version, String state) {
        int lists = store.lists.size();
        store.watches
                .get(store.watches.size() - 1)
                .complete(new RowPage(List.of(), new StorePosition(1, version), 0, true));
        store.lists.get(lists).complete(page(1, version, state));
    }

    private void answerWatchesFor(long millis) {
        for (long passed = 0; passed <= millis; passed += 100) {
            advance(100);
            store.watches
                    .get(store.watches.size() - 1)
                    .complete(new RowPage(List.of(), new StorePosition(1, 2), 0, false));
        }
    }

    private static RowPage page(long era, long version, String state) {
        StoredRow row = new StoredRow(new RowKey("servers", "", "i-1"), state, version, false);
        return new RowPage(List.of(row), new StorePosition(era, version), 0, false);
    }

    private static RowPage changeInEra(long era, long version) {
        return page(era, version, "draining");
    }

    private void advance(long millis) {
        for (long i = 0; i < millis; i++) {
            nowMillis++;
            time.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            time.runScheduledPendingTasks();
        }
    }

    private static RowPage change(long version) {
        StoredRow row = new StoredRow(new RowKey("servers", "", "i-1"), "draining", version, false);
        return new RowPage(List.of(row), StorePosition.withoutEra(version), 0, false);
    }

    private static final class RecordingListener implements TableWatch.Listener {
        private final List<Long> changed = new ArrayList<>();
        private final List<Long> listed = new ArrayList<>();
        private final List<Long> restored = new ArrayList<>();
        private int lost;
        private int dropped;

        @Override
        public void onList(List<StoredRow> rows) {
            rows.forEach(row -> listed.add(row.version()));
        }

        @Override
        public void onRestoredList(List<StoredRow> rows) {
            rows.forEach(row -> restored.add(row.version()));
        }

        @Override
        public void onListDropped(StorePosition list, StorePosition known) {
            dropped++;
        }

        @Override
        public void onChange(StoredRow row) {
            changed.add(row.version());
        }

        @Override
        public void onUnreachable(String reason) {
            lost++;
        }
    }

    /** Store whose calls are completed by the test. */
    private static final class ManualStore implements RowStore {
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
        public CompletableFuture<RowPage> watch(String table, StorePosition since, Duration wait) {
            watches.add(new CompletableFuture<>());
            return watches.get(watches.size() - 1);
        }
    }
}
