package org.streamring.direct.request;

import java.time.Duration;
import java.util.Random;

/** Times after which the caller of one request is told to try again. Confined to the event loop. */
final class RetryDelays {
    /** Retry-After is at most the time that the caller has left, divided by this number. */
    private static final int TIME_LEFT_DIVISOR = 3;

    /** Spreads the retries of callers refused during the same back-off, which would otherwise all arrive at its end. */
    private static final int MAX_JITTER_MILLIS = 250;

    private final Random random;
    private final long callerWaitMillis;

    /**
     * Creates the delays of a request.
     *
     * @param callerWaitMillis time for which the caller waits, from the arrival of its request
     */
    RetryDelays(Random random, long callerWaitMillis) {
        this.random = random;
        this.callerWaitMillis = callerWaitMillis;
    }

    /**
     * Caps a delay to a part of the time that the caller has left, so that a caller who can't wait for the whole delay
     * retries sooner, perhaps at another entry.
     */
    Duration capped(Duration after, long elapsedMillis) {
        long longest = Math.max(0, callerWaitMillis - elapsedMillis) / TIME_LEFT_DIVISOR;
        return Duration.ofMillis(Math.min(longest, after.toMillis()));
    }

    /** Caps a delay after a random time was added. */
    Duration spread(Duration after, long elapsedMillis) {
        return capped(after.plusMillis(random.nextInt(MAX_JITTER_MILLIS)), elapsedMillis);
    }
}
