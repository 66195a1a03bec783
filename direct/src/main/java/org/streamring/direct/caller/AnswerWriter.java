package org.streamring.direct.caller;

import io.netty.handler.codec.http.HttpHeaders;
import org.streamring.net.http.Body;

/** Writes the answer to one request. Exactly one call of {@code writeFull}, {@link #end} or {@link #abort} ends it. */
public interface AnswerWriter {
    /** Sends a complete answer. */
    void writeFull(int status, HttpHeaders headers, byte[] body);

    /**
     * Sends a complete answer as fast as the caller reads it.
     *
     * @param written called once when the body is written or the connection was closed
     */
    default void writeFull(int status, HttpHeaders headers, Body body, Runnable written) {
        writeFull(status, headers, body.toByteArray());
        written.run();
    }

    /** Sends the head of an answer of unknown length. */
    void writeHead(int status, HttpHeaders headers);

    /** Sends a part of the body. */
    void writeData(byte[] data);

    /** Completes an answer whose head was sent. */
    void end();

    /**
     * Ends an answer so that the caller recognizes it as incomplete.
     *
     * @param reason short name of the cause, for the log
     */
    void abort(String reason);

    /** Whether more data can be sent at once, without being buffered. */
    boolean writable();

    /** Whether the caller is still connected, judged by the bytes that have arrived from it so far. */
    boolean callerPresent();
}
