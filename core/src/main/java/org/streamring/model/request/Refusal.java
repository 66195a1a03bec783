package org.streamring.model.request;

import java.time.Duration;

/**
 * Refusal of a request, with the information sent to the caller.
 *
 * @param reason reason for the refusal
 * @param message explanation for the caller in one sentence
 * @param retryAfter time after which a retry can succeed; only meaningful if {@link RefusalReason#retryHelps} is true
 *     for the reason
 */
public record Refusal(RefusalReason reason, String message, Duration retryAfter) {
    /** Returns a refusal with a retry time of one second. */
    public static Refusal of(RefusalReason reason, String message) {
        return new Refusal(reason, message, Duration.ofSeconds(1));
    }
}
