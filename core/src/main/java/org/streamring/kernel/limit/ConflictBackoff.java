package org.streamring.kernel.limit;

import java.util.Random;

/**
 * Computes the back-off after a transaction that failed because of a conflict with another writer's transaction.
 *
 * <p>The store executes the transactions of one partition one after another, and a transaction fails if it read its
 * rows before the last change. With few writers, immediate retries work best. Many writers would keep each other from
 * ever committing. Each of them therefore waits for a random part of the time in which all could commit twice. As its
 * version is outdated after that wait, it then tries twice in a row. Confined to one thread.
 */
public final class ConflictBackoff {
    private static final long MIN_DELAY_MILLIS = 5;
    private static final long TRANSACTION_MILLIS = 6;
    private static final int TRANSACTIONS_PER_WRITER = 2;
    private static final int MAX_WRITERS_WITHOUT_BACKOFF = 8;

    private final Random random;
    private int conflicts;

    /** Creates a back-off without recorded conflicts. */
    public ConflictBackoff(Random random) {
        this.random = random;
    }

    /** Records a transaction that was committed. */
    public void committed() {
        conflicts = 0;
    }

    /**
     * Records a transaction that failed because of a conflict.
     *
     * @param writers number of writers to the same rows
     * @return back-off before the next attempt, in milliseconds
     */
    public long conflicted(int writers) {
        conflicts++;
        boolean versionIsFresh = conflicts % 2 == 1;
        if (writers <= MAX_WRITERS_WITHOUT_BACKOFF || versionIsFresh) {
            return MIN_DELAY_MILLIS;
        }
        return MIN_DELAY_MILLIS + random.nextLong(TRANSACTION_MILLIS * TRANSACTIONS_PER_WRITER * writers);
    }
}
