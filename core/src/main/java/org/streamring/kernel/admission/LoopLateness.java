package org.streamring.kernel.admission;

import java.util.Optional;

/**
 * Whether the event loop falls behind, judged by how late its timers run: what arrives may lie unread for about as
 * long. Confined to one thread.
 */
public final class LoopLateness {
    /** A quarter of the half second in which a caller's leaving must take effect. */
    static final long LATE_MILLIS = 125;

    /** Well below the other bound, so that a delay between them is no change. */
    static final long IN_TIME_MILLIS = 30;

    private boolean late;
    private long lateSinceMillis;
    private long longestMillis;

    /**
     * A change between late and in time.
     *
     * @param late whether the loop is late now
     * @param delayMillis the delay that shows it
     * @param longestMillis the longest delay since the loop became late
     * @param lateForMillis time since then
     */
    public record Change(boolean late, long delayMillis, long longestMillis, long lateForMillis) {}

    /** Notes how late a timer ran; returns a change if this is one. */
    public Optional<Change> ran(long delayMillis, long nowMillis) {
        longestMillis = Math.max(longestMillis, delayMillis);
        if (!late && delayMillis > LATE_MILLIS) {
            late = true;
            lateSinceMillis = nowMillis - delayMillis;
            longestMillis = delayMillis;
            return Optional.of(change(delayMillis, nowMillis));
        }
        if (late && delayMillis <= IN_TIME_MILLIS) {
            late = false;
            return Optional.of(change(delayMillis, nowMillis));
        }
        return Optional.empty();
    }

    private Change change(long delayMillis, long nowMillis) {
        return new Change(late, delayMillis, longestMillis, nowMillis - lateSinceMillis);
    }
}
