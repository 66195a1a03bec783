package org.streamring.kernel.prepaid;

import java.util.Map;

/**
 * The marks of one incarnation: up to where it may have used its grants while the store answered it.
 *
 * @param incarnation whose marks they are
 * @param confirmedMillis time of the store at which its last confirmed write was sent, or before; from then on it is
 *     patient before it uses tokens beyond the marks
 * @param marks tokens by account
 */
public record MarkRow(String incarnation, long confirmedMillis, Map<String, Long> marks) {
    /** Copies the map. */
    public MarkRow {
        marks = Map.copyOf(marks);
    }

    /**
     * Whether this incarnation used nothing beyond its marks, as it ended before its patience did.
     *
     * @param successorStartMillis time of the store at which its successor on the same box started, or later
     */
    public boolean heldBy(long successorStartMillis, long patienceMillis) {
        return successorStartMillis - confirmedMillis < patienceMillis;
    }

    /** What is used for sure at most of an account, if the marks were held. */
    public long markOf(String account, long granted) {
        return Math.min(granted, marks.getOrDefault(account, granted));
    }
}
