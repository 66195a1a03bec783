package org.streamring.kernel.admission;

import java.time.Duration;

/**
 * Whether a request waits for a place.
 *
 * @param waits whether it waits; it is refused otherwise
 * @param retryAfter when its caller is told to come back, if it is refused
 */
public record WaitDecision(boolean waits, Duration retryAfter) {
    /** The request waits on. */
    public static final WaitDecision WAIT = new WaitDecision(true, Duration.ZERO);

    /** The request is refused. */
    public static WaitDecision refuse(Duration retryAfter) {
        return new WaitDecision(false, retryAfter);
    }
}
