package org.streamring.kernel.prepaid;

import java.util.Map;
import java.util.Set;

/**
 * The marks of one incarnation: up to where it may have used its grants.
 *
 * @param incarnation whose marks they are
 * @param confirmedMillis time of the store at which its last confirmed write was sent, or before; its marks rise from
 *     then on, until it is out of patience
 * @param marks marks by account
 * @param witnesses incarnations of other entries; once it is out of patience it uses nothing beyond its marks that it
 *     has not noted at one of them
 * @param coverMillis time since its last confirmed write until which its grants are released evenly; 0 if it may use
 *     all of them as soon as it is out of patience, as processes of older versions do
 */
public record MarkRow(
        String incarnation, long confirmedMillis, Map<String, Mark> marks, Set<String> witnesses, long coverMillis) {
    /** Copies map and set. */
    public MarkRow {
        marks = Map.copyOf(marks);
        witnesses = Set.copyOf(witnesses);
    }

    /**
     * Whether this incarnation used nothing beyond its marks, as it ended before its patience did.
     *
     * @param successorStartMillis time of the store at which its successor on the same box started, or later
     */
    public boolean heldBy(long successorStartMillis, long patienceMillis) {
        return successorStartMillis - confirmedMillis < patienceMillis;
    }

    /**
     * What is used at most of an account by an incarnation that ran out of patience.
     *
     * @param noted the most that it noted at any of its witnesses, all of which were asked
     */
    public long usedAtMost(String account, long granted, long noted) {
        Mark mark = marks.getOrDefault(account, Mark.of(granted));
        return Math.min(granted, Math.max(mark.atPatience(), noted));
    }

    /**
     * What is used at most of an account by an incarnation that ran out of patience, whatever it noted.
     *
     * @param successorStartMillis time of the store at which its successor on the same box started, or later
     */
    public long releasedAtMost(String account, long granted, long successorStartMillis, long patienceMillis) {
        if (coverMillis <= patienceMillis) {
            return granted;
        }
        Mark mark = marks.getOrDefault(account, Mark.of(granted));
        return mark.released(granted, successorStartMillis - confirmedMillis, patienceMillis, coverMillis);
    }

    /**
     * What is used for sure at most of an account, if the marks were held.
     *
     * @param successorStartMillis time of the store at which its successor on the same box started, or later
     */
    public long usedAtMost(String account, long granted, long successorStartMillis, long patienceMillis) {
        Mark mark = marks.getOrDefault(account, Mark.of(granted));
        return Math.min(granted, mark.after(successorStartMillis - confirmedMillis, patienceMillis));
    }
}
