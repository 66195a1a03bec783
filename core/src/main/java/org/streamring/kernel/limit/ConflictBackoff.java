package org.streamring.kernel.limit;

import java.util.Random;

/**
 * How long to wait after a transaction that others' transactions came before.
 *
 * <p>The store takes transactions of one partition one after another, and one that read before the last change fails.
 * A few writers do best to try again at once. Many keep each other from ever committing; so each waits for a random
 * part of the time in which all could commit twice, which leaves it with an outdated version, and then tries twice in a
 * row. Confined to one thread.
 */
public final class ConflictBackoff {
    private static final long AT_ONCE_MILLIS = 5;
    private static final long TRANSACTION_MILLIS = 6;
    private static final int TURNS = 2;
    private static final int FEW_WRITERS = 8;

    private final Random random;
    private int conflicts;

    /** Creates one without conflicts. */
    public ConflictBackoff(Random random) {
        this.random = random;
    }

    /** Notes a transaction that took effect. */
    public void committed() {
        conflicts = 0;
    }

    /**
     * Notes a transaction that did not take effect.
     *
     * @param writers how many write to the same rows
     * @return milliseconds to wait
     */
    public long conflicted(int writers) {
        conflicts++;
        boolean versionIsFresh = conflicts % 2 == 1;
        if (writers <= FEW_WRITERS || versionIsFresh) {
            return AT_ONCE_MILLIS;
        }
        return AT_ONCE_MILLIS + random.nextLong(TRANSACTION_MILLIS * TURNS * writers);
    }
}
