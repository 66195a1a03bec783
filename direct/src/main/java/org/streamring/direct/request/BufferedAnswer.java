package org.streamring.direct.request;

import org.streamring.direct.backend.AnswerHead;
import org.streamring.net.http.Body;

/**
 * A complete, non-streamed answer of a backend server.
 *
 * @param head status and headers
 * @param body complete body
 * @param release gives back the memory of the body; may be called more than once
 */
record BufferedAnswer(AnswerHead head, Body body, Runnable release) {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final int TIMEOUT = 408;
    private static final int MISDIRECTED = 421;

    /**
     * Whether this answer may be passed on to the caller. Statuses 408, 421, 429 and 503 may not: they state something
     * about the request, such as that it did not run, that the entry itself can't guarantee.
     */
    boolean forwardable() {
        return switch (head.status()) {
            case TOO_MANY_REQUESTS, UNAVAILABLE, TIMEOUT, MISDIRECTED -> false;
            default -> true;
        };
    }
}
