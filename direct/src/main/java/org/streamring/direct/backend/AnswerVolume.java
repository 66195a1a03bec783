package org.streamring.direct.backend;

/**
 * Compares the bytes that arrive from a backend server with those that are passed on as the body of an answer. A server
 * in trouble may send bytes without end that are no answer, such as interim heads, line ends, empty chunks or an answer
 * to another request. Confined to one thread.
 */
final class AnswerVolume {
    /** Bytes of heads, and of answers to other requests, that may arrive beside a body. */
    private static final long MAX_OTHER_BYTES = 262_144;
    /** Bytes on the wire for each byte of a body; chunks of a few bytes each stay below. */
    private static final long MAX_WIRE_FACTOR = 2;
    /** Largest answer, of an event stream as well. */
    private static final long MAX_ANSWER_BYTES = 67_108_864;

    private long arrivedBytes;
    private long bodyBytes;

    /** Begins to count anew, as a request was sent. */
    void requestSent() {
        arrivedBytes = 0;
        bodyBytes = 0;
    }

    /** Counts bytes that were passed on as a part of the body. */
    void passedOn(long bytes) {
        bodyBytes += bytes;
    }

    /** Counts bytes that arrived, and returns whether they may belong to an answer. */
    boolean admits(long bytes) {
        arrivedBytes += bytes;
        boolean mostlyBody = arrivedBytes <= MAX_WIRE_FACTOR * bodyBytes + MAX_OTHER_BYTES;
        return mostlyBody && arrivedBytes <= MAX_ANSWER_BYTES;
    }
}
