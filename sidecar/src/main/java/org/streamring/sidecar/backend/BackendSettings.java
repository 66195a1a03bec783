package org.streamring.sidecar.backend;

import java.net.URI;
import java.time.Duration;

/**
 * How the backend server is reached.
 *
 * @param url its address
 * @param cancelCall whether it has a cancel call; otherwise work is cancelled by closing its connection
 * @param cancelMarginTokens tokens charged beyond the last report when an answer ends without its usage
 * @param cancelWait longest wait for the usage of cancelled work
 * @param maxAnswerBytes largest answer that is not streamed
 */
public record BackendSettings(
        URI url, boolean cancelCall, long cancelMarginTokens, Duration cancelWait, int maxAnswerBytes) {}
