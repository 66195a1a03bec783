package org.streamring.model.route;

import java.time.Duration;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maxHeaderBytes maximum size of the request line and headers in bytes
 * @param maxBodyBytes maximum size of the request body in bytes
 * @param headerTimeout maximum time from the first byte of a request to the end of its headers
 * @param idleTimeout maximum time that a connection may be idle
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Limits in force until the operator's configuration is received. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
