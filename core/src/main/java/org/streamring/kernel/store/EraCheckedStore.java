package org.streamring.kernel.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;

/**
 * Store that passes on only answers of the latest era known.
 *
 * <p>A new era begins when the store is restored from an older copy: its last changes are lost, and their versions are
 * given out again. Listeners are told of a new era before the answer that named it is passed on. Confined to one
 * thread.
 */
public final class EraCheckedStore implements RowStore {
    private final RowStore store;
    private final List<Listener> listeners = new ArrayList<>();
    private long era = StorePosition.NO_ERA;

    /** Why an answer is not passed on. */
    public enum DropReason {
        /** The answer is of an older era, for instance because it arrived late on another connection. */
        OLDER_ERA,
        /** The answer names no era, or one that is not a number, although earlier answers did. */
        NO_ERA_NAMED,
        /** The write was planned in an older era, so that its conditions may have held for other rows. */
        PLANNED_IN_OLDER_ERA
    }

    /** Is told of eras and of answers that are not passed on. */
    public interface Listener {
        /** Called when the store was restored from an older copy. */
        default void eraChanged(long before, long now) {}

        /**
         * Called when an answer is not passed on; the call fails instead.
         *
         * @param answered era that the answer named; {@link StorePosition#NO_ERA} if it named none
         * @param known latest era known
         */
        default void answerDropped(String call, DropReason reason, long answered, long known) {}
    }

    /** Creates a store whose era is unknown until the first answer. */
    public EraCheckedStore(RowStore store) {
        this.store = store;
    }

    /** Adds a listener; listeners are called in the order in which they were added. */
    public void listen(Listener listener) {
        listeners.add(listener);
    }

    /** Returns the latest era known; {@link StorePosition#NO_ERA} before the first answer or if the store has none. */
    public long era() {
        return era;
    }

    /** Notes an era that an answer of the store to this or to another process has named. */
    public void observe(long named) {
        if (named <= era) {
            return;
        }
        long before = era;
        era = named;
        if (before != StorePosition.NO_ERA) {
            listeners.forEach(each -> each.eraChanged(before, named));
        }
    }

    /** {@inheritDoc} A write that took effect in a later era than the one in which it was planned fails. */
    @Override
    public CompletableFuture<CommitResult> commit(List<RowChange> changes) {
        long planned = era;
        return checked("commit", store.commit(changes), CommitResult::position).thenCompose(result -> {
            long answered = result.position().era();
            boolean sameEra = planned == StorePosition.NO_ERA || planned == answered;
            return sameEra || !result.committed()
                    ? CompletableFuture.completedFuture(result)
                    : CompletableFuture.failedFuture(dropped("commit", DropReason.PLANNED_IN_OLDER_ERA, answered));
        });
    }

    @Override
    public CompletableFuture<RowPage> list(String table, String partition) {
        return checked("list", store.list(table, partition), RowPage::position);
    }

    /** {@inheritDoc} Changes since a position of another era are always incomplete. */
    @Override
    public CompletableFuture<RowPage> watch(String table, StorePosition since, Duration wait) {
        if (since.era() != era) {
            return CompletableFuture.completedFuture(new RowPage(List.of(), since, 0, true));
        }
        return checked("watch", store.watch(table, since, wait), RowPage::position)
                .thenApply(page -> page.position().era() == since.era()
                        ? page
                        : new RowPage(List.of(), page.position(), page.storeMillis(), true));
    }

    private <T> CompletableFuture<T> checked(
            String call, CompletableFuture<T> answer, Function<T, StorePosition> position) {
        CompletableFuture<T> result = new CompletableFuture<>();
        answer.whenComplete((value, failure) -> {
            if (failure != null) {
                observe(eraNamedBy(failure));
                result.completeExceptionally(failure);
                return;
            }
            long named = position.apply(value).era();
            observe(named);
            if (named == era) {
                result.complete(value);
            } else {
                DropReason reason = named == StorePosition.NO_ERA ? DropReason.NO_ERA_NAMED : DropReason.OLDER_ERA;
                result.completeExceptionally(dropped(call, reason, named));
            }
        });
        return result;
    }

    private static long eraNamedBy(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof StoreException answered ? answered.era() : StorePosition.NO_ERA;
    }

    private StoreException dropped(String call, DropReason reason, long answered) {
        listeners.forEach(each -> each.answerDropped(call, reason, answered, era));
        return new StoreException(call + " at the store", "answer dropped: " + reason, false, answered);
    }
}
