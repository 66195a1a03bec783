package org.streamring.kernel.suspect;

/**
 * Whether a request may be sent to a server.
 *
 * @param sends whether it may
 * @param crashes servers that ended under it and speak against it
 * @param retryAfterMillis when it may be asked for again, if it may not be sent
 */
public record SuspectDecision(boolean sends, int crashes, long retryAfterMillis) {
    static final SuspectDecision UNSUSPECTED = new SuspectDecision(true, 0, 0);
}
