package org.streamring.direct.request;

import java.util.OptionalLong;
import java.util.function.LongSupplier;

/** Timing of the events of one streamed answer, as passed on to the caller. Confined to the event loop. */
final class StreamTiming {
    private final LongSupplier clock;
    private final long arrivedMillis;
    private long lastEventMillis = -1;
    private long firstMillis = -1;
    private long longestPauseMillis;

    /**
     * Creates the timing of a request that has passed on no events yet.
     *
     * @param clock clock in milliseconds, the same on which the request's arrival was taken
     */
    StreamTiming(LongSupplier clock, long arrivedMillis) {
        this.clock = clock;
        this.arrivedMillis = arrivedMillis;
    }

    /** Records that an event was passed on. */
    void recordEvent() {
        long now = clock.getAsLong();
        if (lastEventMillis < 0) {
            firstMillis = now - arrivedMillis;
        } else {
            longestPauseMillis = Math.max(longestPauseMillis, now - lastEventMillis);
        }
        lastEventMillis = now;
    }

    /** Returns the milliseconds from the arrival to the first event; empty if there was no event. */
    OptionalLong firstEventMillis() {
        return firstMillis < 0 ? OptionalLong.empty() : OptionalLong.of(firstMillis);
    }

    /** Returns the longest time between two consecutive events, in milliseconds. */
    long longestPauseMillis() {
        return longestPauseMillis;
    }
}
