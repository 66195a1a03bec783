package org.streamring.model.route;

import java.time.Duration;

/**
 * What a caller may send.
 *
 * @param maxHeaderBytes most bytes of a request's head
 * @param maxBodyBytes most bytes of a request's body
 * @param headerTimeout longest time from a request's first byte to the end of its head
 * @param idleTimeout longest time a connection may rest
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Limits in force until the operator's are known. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
