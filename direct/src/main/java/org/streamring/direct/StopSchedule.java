package org.streamring.direct;

import java.time.Duration;
import java.util.function.Supplier;

/** Times of a stop, in which running requests may finish within the grace period. */
final class StopSchedule {
    /**
     * Time within which the load balancer stops sending new connections to this entry. It checks the readiness every
     * second and removes an entry after two failed checks.
     */
    static final Duration BALANCER_DETECTION_TIME = Duration.ofMillis(2_500);

    private static final Duration MARGIN = Duration.ofMillis(500);
    private static final Duration MIN_TIME_FOR_NEW_REQUEST = Duration.ofSeconds(2);

    private final Supplier<Duration> gracePeriod;

    /**
     * Creates a schedule.
     *
     * @param gracePeriod returns the time after which the process is killed, which may change during the stop
     */
    StopSchedule(Supplier<Duration> gracePeriod) {
        this.gracePeriod = gracePeriod;
    }

    /** Returns the time from the beginning of the stop within which requests may run, in milliseconds. */
    long millisForRequests() {
        return gracePeriod.get().minus(MARGIN).toMillis();
    }

    /**
     * Returns whether a request that arrives during the stop has time to run. Streams, whose length is not known, are
     * accepted only until the load balancer sends no new connections.
     */
    boolean leavesTimeFor(boolean stream, long elapsedMillis) {
        if (stream && elapsedMillis >= BALANCER_DETECTION_TIME.toMillis()) {
            return false;
        }
        return millisForRequests() - elapsedMillis > MIN_TIME_FOR_NEW_REQUEST.toMillis();
    }
}
