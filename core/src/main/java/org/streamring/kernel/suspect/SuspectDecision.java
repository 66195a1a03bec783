package org.streamring.kernel.suspect;

import java.util.Optional;

/**
 * Decision whether a request may be sent to a server.
 *
 * @param maySend whether the request may be sent
 * @param suspect why it may not be sent: the request itself or a part of its prompt; empty for a request that holds no
 *     blocked suspect
 * @param crashes number of servers that ended while processing the suspect and for which it was not cleared
 * @param retryAfterMillis time in milliseconds after which to decide again, if the request may not be sent
 */
public record SuspectDecision(boolean maySend, Optional<SuspectId> suspect, int crashes, long retryAfterMillis) {
    static final SuspectDecision UNSUSPECTED = new SuspectDecision(true, Optional.empty(), 0, 0);
}
