package org.streamring.kernel.limit;

import org.streamring.model.declaration.PriorityClass;

/** How much of a backend server each rank may fill; the lower the class, the less, so that it is refused first. */
public final class RankLimit {
    private static final int RANKS = PriorityClass.LOWEST_RANK + 1;
    /** The lowest rank leaves one part in this many free for the others. */
    private static final int PARTS = 3;

    private RankLimit() {}

    /**
     * Most attempts that may be in progress for one more of this rank to start.
     *
     * @param capacity attempts that the most urgent rank may fill
     * @param rank 0 is the most urgent
     */
    public static int of(int capacity, int rank) {
        int keptFree = capacity * rank / (RANKS * PARTS);
        return Math.max(1, capacity - keptFree);
    }
}
