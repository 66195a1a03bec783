package org.streamring.kernel.admission;

import java.time.Duration;

/**
 * Decision whether a request waits for a free slot.
 *
 * @param waits whether the request waits; otherwise it is refused
 * @param retryAfter time after which the caller of a refused request is asked to retry
 */
public record WaitDecision(boolean waits, Duration retryAfter) {
    /** The request continues to wait. */
    public static final WaitDecision WAIT = new WaitDecision(true, Duration.ZERO);

    /** Creates a decision to refuse the request. */
    public static WaitDecision refuse(Duration retryAfter) {
        return new WaitDecision(false, retryAfter);
    }
}
