package org.streamring.direct.request;

import org.streamring.direct.backend.AnswerHead;

/**
 * A whole answer of a backend server that was not streamed.
 *
 * @param head status and headers
 * @param body whole body
 */
@SuppressWarnings("ArrayRecordComponent") // bytes are handed on, not copied
record BufferedAnswer(AnswerHead head, byte[] body) {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final int TIMEOUT = 408;
    private static final int MISDIRECTED = 421;

    /** Whether the status promises nothing about the request that the entry could not promise itself. */
    boolean passable() {
        return switch (head.status()) {
            case TOO_MANY_REQUESTS, UNAVAILABLE, TIMEOUT, MISDIRECTED -> false;
            default -> true;
        };
    }
}
