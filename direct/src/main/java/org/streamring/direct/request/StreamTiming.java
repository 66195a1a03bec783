package org.streamring.direct.request;

import java.util.OptionalLong;
import java.util.function.LongSupplier;

/** When the events of one answer were passed on to its caller. Confined to the event loop. */
final class StreamTiming {
    private final LongSupplier clock;
    private final long arrivedMillis;
    private long newestMillis = -1;
    private long firstMillis = -1;
    private long longestPauseMillis;

    /**
     * Creates one for a request without events so far.
     *
     * @param clock milliseconds on the clock of the request's arrival
     */
    StreamTiming(LongSupplier clock, long arrivedMillis) {
        this.clock = clock;
        this.arrivedMillis = arrivedMillis;
    }

    /** Notes an event. */
    void event() {
        long now = clock.getAsLong();
        if (newestMillis < 0) {
            firstMillis = now - arrivedMillis;
        } else {
            longestPauseMillis = Math.max(longestPauseMillis, now - newestMillis);
        }
        newestMillis = now;
    }

    /** Milliseconds from the arrival to the first event; empty if there was none. */
    OptionalLong firstEventMillis() {
        return firstMillis < 0 ? OptionalLong.empty() : OptionalLong.of(firstMillis);
    }

    /** Longest time between two events that followed each other, in milliseconds. */
    long longestPauseMillis() {
        return longestPauseMillis;
    }
}
