package org.streamring.kernel.suspect;

/**
 * Decision whether a request may be sent to a server.
 *
 * @param maySend whether the request may be sent
 * @param crashes number of servers that ended while running the request and for which it was not cleared
 * @param retryAfterMillis time in milliseconds after which to decide again, if the request may not be sent
 */
public record SuspectDecision(boolean maySend, int crashes, long retryAfterMillis) {
    static final SuspectDecision UNSUSPECTED = new SuspectDecision(true, 0, 0);
}
