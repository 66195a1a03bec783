package org.streamring.sidecar.backend;

import java.net.URI;
import java.time.Duration;

/**
 * Settings for calls to the backend server.
 *
 * @param url address of the backend server
 * @param cancelCall whether the engine has a cancel call; otherwise its connection is closed to cancel a request
 * @param cancelMarginTokens tokens charged above the last reported usage if an answer ends without final usage
 * @param cancelWait maximum wait for the usage of a cancelled request
 * @param maxAnswerBytes maximum size of an answer that is not streamed
 */
public record BackendSettings(
        URI url, boolean cancelCall, long cancelMarginTokens, Duration cancelWait, int maxAnswerBytes) {}
