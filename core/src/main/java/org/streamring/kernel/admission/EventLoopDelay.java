package org.streamring.kernel.admission;

import java.util.Optional;

/**
 * Detects delays of the event loop from the delays of its timers: received data may stay unread for about the same
 * time. Confined to one thread.
 */
public final class EventLoopDelay {
    /**
     * Delay above which the loop is late: a quarter of the 0.5 s within which a disconnect of a caller must take
     * effect.
     */
    static final long LATE_MILLIS = 125;

    /** Delay up to which the loop is in time again; well below {@link #LATE_MILLIS} to avoid frequent changes. */
    static final long IN_TIME_MILLIS = 30;

    private boolean late;
    private long lateSinceMillis;
    private long longestMillis;

    /**
     * A change between late and in time.
     *
     * @param late whether the loop is late now
     * @param delayMillis timer delay that caused the change
     * @param longestMillis longest timer delay since the loop became late
     * @param lateForMillis time since the loop became late
     */
    public record Change(boolean late, long delayMillis, long longestMillis, long lateForMillis) {}

    /** Records the delay of a timer, and returns the change that it causes, if any. */
    public Optional<Change> recordDelay(long delayMillis, long nowMillis) {
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
