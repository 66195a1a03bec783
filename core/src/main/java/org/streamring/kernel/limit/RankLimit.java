package org.streamring.kernel.limit;

import org.streamring.model.declaration.PriorityClass;

/** Limits the part of a capacity that each rank may use, so that less urgent requests are refused first. */
public final class RankLimit {
    private static final int RANKS = PriorityClass.LOWEST_RANK + 1;
    /** The lowest rank leaves about one part in this many of the capacity free for more urgent ranks. */
    private static final int RESERVED_DIVISOR = 3;

    private RankLimit() {}

    /**
     * Returns the number of attempts in progress from which no further attempt of a rank may start.
     *
     * @param capacity number of attempts that the most urgent rank may use
     * @param rank rank of the attempt; 0 is the most urgent
     */
    public static int of(int capacity, int rank) {
        int reserved = capacity * rank / (RANKS * RESERVED_DIVISOR);
        return Math.max(1, capacity - reserved);
    }
}
