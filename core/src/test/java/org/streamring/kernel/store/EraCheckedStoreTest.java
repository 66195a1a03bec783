package org.streamring.kernel.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.streamring.kernel.store.EraCheckedStore.DropReason;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class EraCheckedStoreTest {
    private static final Duration WAIT = Duration.ofMillis(600);

    private ScriptedStore answers;
    private EraCheckedStore store;
    private List<String> events;

    @BeforeMethod
    public void setUp() {
        answers = new ScriptedStore();
        store = new EraCheckedStore(answers);
        events = new ArrayList<>();
        store.listen(new EraCheckedStore.Listener() {
            @Override
            public void eraChanged(long before, long now) {
                events.add(before + " to " + now);
            }

            @Override
            public void answerDropped(String call, DropReason reason, long answered, long known) {
                events.add(call + " " + reason);
            }
        });
        answers.page = page(3, 50);
        assertThat(store.list("t", "")).isCompleted();
        assertThat(events).as("the first era is no change").isEmpty();
    }

    @Test
    public void aNewEraIsReportedBeforeItsAnswer() {
        answers.page = page(4, 10);
        store.list("t", "").thenAccept(page -> events.add("answer"));
        assertThat(events).containsExactly("3 to 4", "answer");
        assertThat(store.era()).isEqualTo(4);
    }

    @Test
    public void answersOfAnOlderEraAreDropped() {
        store.observe(4);
        answers.page = page(3, 60);
        assertThat(store.list("t", "")).isCompletedExceptionally();
        assertThat(events).containsExactly("3 to 4", "list OLDER_ERA");
    }

    @Test
    public void answersWithoutAnEraAreDroppedOnceAnEraIsKnown() {
        answers.page = page(StorePosition.NO_ERA, 60);
        assertThat(store.list("t", "")).isCompletedExceptionally();
        assertThat(events).containsExactly("list NO_ERA_NAMED");
    }

    @Test
    public void aStoreWithoutErasIsUsedAsBefore() {
        EraCheckedStore plain = new EraCheckedStore(answers);
        answers.page = page(StorePosition.NO_ERA, 7);
        assertThat(plain.list("t", "")).isCompletedWithValue(answers.page);
        assertThat(plain.watch("t", StorePosition.withoutEra(7), WAIT)).isCompletedWithValue(answers.page);
        answers.result = new CommitResult(true, StorePosition.withoutEra(8), 0, List.of());
        assertThat(plain.commit(List.of())).isCompletedWithValue(answers.result);
    }

    @Test
    public void aFailedCallReportsTheEraThatItsAnswerNamed() {
        answers.failure = new StoreException("list", "status 503", true, 4);
        assertThat(store.list("t", "")).isCompletedExceptionally();
        assertThat(events).containsExactly("3 to 4");
    }

    /** Guards against missing changes below a version that the restored store has already passed again. */
    @Test
    public void changesSinceAPositionOfAnOlderEraAreIncomplete() {
        answers.page = page(4, 90);
        CompletableFuture<RowPage> sentBefore = store.watch("t", new StorePosition(3, 50), WAIT);
        assertThat(sentBefore.join().changesMissing()).isTrue();
        answers.page = page(4, 91);
        assertThat(store.watch("t", new StorePosition(3, 50), WAIT).join().changesMissing())
                .as("a call that would be sent with a position of an older era")
                .isTrue();
        assertThat(store.watch("t", new StorePosition(4, 90), WAIT).join().changesMissing())
                .isFalse();
    }

    /** Guards against a write whose condition held for a row that was given the same version in a later era. */
    @Test
    public void aWritePlannedInAnOlderEraIsNotConfirmed() {
        answers.result = new CommitResult(true, new StorePosition(4, 51), 0, List.of());
        CompletableFuture<CommitResult> write = store.commit(List.of());
        assertThat(write).isCompletedExceptionally();
        assertThat(events).containsExactly("3 to 4", "commit PLANNED_IN_OLDER_ERA");
    }

    @Test
    public void aConflictInALaterEraIsReportedWithTheCurrentRows() {
        answers.result = new CommitResult(false, new StorePosition(4, 12), 0, List.of());
        assertThat(store.commit(List.of())).isCompletedWithValue(answers.result);
    }

    private static RowPage page(long era, long version) {
        return new RowPage(List.of(), new StorePosition(era, version), 0, false);
    }

    /** Store that answers each call with the given value, or fails. */
    private static final class ScriptedStore implements RowStore {
        private RowPage page = page(StorePosition.NO_ERA, 0);
        private CommitResult result = new CommitResult(true, StorePosition.withoutEra(0), 0, List.of());
        private StoreException failure;

        @Override
        public CompletableFuture<CommitResult> commit(List<RowChange> changes) {
            return answer(result);
        }

        @Override
        public CompletableFuture<RowPage> list(String table, String partition) {
            return answer(page);
        }

        @Override
        public CompletableFuture<RowPage> watch(String table, StorePosition since, Duration wait) {
            return answer(page);
        }

        private <T> CompletableFuture<T> answer(T value) {
            return failure == null ? CompletableFuture.completedFuture(value) : CompletableFuture.failedFuture(failure);
        }
    }
}
