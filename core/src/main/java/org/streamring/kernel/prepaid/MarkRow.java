package org.streamring.kernel.prepaid;

import java.util.Map;
import java.util.Set;
import org.streamring.kernel.store.StorePosition;

/**
 * Row with the usage caps of one incarnation.
 *
 * @param incarnation incarnation that the caps apply to
 * @param confirmedMillis time, on the clock of the store, at which its last confirmed write was sent, or earlier; its
 *     caps rise from then until the silence timeout
 * @param caps usage caps by account
 * @param witnesses incarnations of other entries; after the silence timeout, the incarnation uses no tokens above its
 *     caps that are not recorded at one of them
 * @param fullReleaseMillis time since the last confirmed write over which its grants are released evenly; 0 if it may
 *     use all of them after the silence timeout, as processes of older versions do
 * @param era era of the store in which the row was written; {@link StorePosition#NO_ERA} if it is not known
 */
public record MarkRow(
        String incarnation,
        long confirmedMillis,
        Map<String, Mark> caps,
        Set<String> witnesses,
        long fullReleaseMillis,
        long era) {
    /** Copies the map and the set. */
    public MarkRow {
        caps = Map.copyOf(caps);
        witnesses = Set.copyOf(witnesses);
    }

    /** Creates a row whose era is not known. */
    public MarkRow(
            String incarnation,
            long confirmedMillis,
            Map<String, Mark> caps,
            Set<String> witnesses,
            long fullReleaseMillis) {
        this(incarnation, confirmedMillis, caps, witnesses, fullReleaseMillis, StorePosition.NO_ERA);
    }

    /**
     * Returns whether this incarnation used no tokens above its caps, because it ended before its silence timeout.
     *
     * @param successorStartMillis time, on the clock of the store, at which its successor on the same box started, or
     *     later
     * @param silenceTimeoutMillis silence timeout
     */
    public boolean stayedWithinCaps(long successorStartMillis, long silenceTimeoutMillis) {
        return successorStartMillis - confirmedMillis < silenceTimeoutMillis;
    }

    /**
     * Returns the maximum number of tokens of an account used by an incarnation that reached its silence timeout.
     *
     * @param recorded maximum number of tokens recorded at any of its witnesses, all of which answered
     */
    public long usedAtMost(String account, long granted, long recorded) {
        Mark cap = caps.getOrDefault(account, Mark.of(granted));
        return Math.min(granted, Math.max(cap.atSilenceTimeout(), recorded));
    }

    /**
     * Returns the maximum number of tokens of an account used by an incarnation that reached its silence timeout,
     * regardless of the records at its witnesses.
     *
     * @param successorStartMillis time, on the clock of the store, at which its successor on the same box started, or
     *     later
     * @param silenceTimeoutMillis silence timeout
     */
    public long releasedAtMost(String account, long granted, long successorStartMillis, long silenceTimeoutMillis) {
        if (fullReleaseMillis <= silenceTimeoutMillis) {
            return granted;
        }
        Mark cap = caps.getOrDefault(account, Mark.of(granted));
        return cap.released(granted, successorStartMillis - confirmedMillis, silenceTimeoutMillis, fullReleaseMillis);
    }

    /**
     * Returns the maximum number of tokens of an account used by an incarnation that stayed within its usage caps.
     *
     * @param successorStartMillis time, on the clock of the store, at which its successor on the same box started, or
     *     later
     * @param silenceTimeoutMillis silence timeout
     */
    public long usedAtMost(String account, long granted, long successorStartMillis, long silenceTimeoutMillis) {
        Mark cap = caps.getOrDefault(account, Mark.of(granted));
        return Math.min(granted, cap.after(successorStartMillis - confirmedMillis, silenceTimeoutMillis));
    }
}
