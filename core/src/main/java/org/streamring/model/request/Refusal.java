package org.streamring.model.request;

import java.time.Duration;

/**
 * A refusal that a caller can act on.
 *
 * @param reason why
 * @param message one sentence for the caller
 * @param retryAfter when asking again can help; meaningful if the reason says that it helps
 */
public record Refusal(RefusalReason reason, String message, Duration retryAfter) {
    /** A refusal for which the default wait is one second. */
    public static Refusal of(RefusalReason reason, String message) {
        return new Refusal(reason, message, Duration.ofSeconds(1));
    }
}
