package org.streamring.direct.caller;

import io.netty.handler.codec.http.HttpHeaders;

/** Writes the answer to one request. Exactly one of {@code whole}, {@code end} and {@code abort} ends it. */
public interface AnswerWriter {
    /** Sends a whole answer. */
    void whole(int status, HttpHeaders headers, byte[] body);

    /** Begins an answer whose length is not known. */
    void begin(int status, HttpHeaders headers);

    /** Sends a part of the body. */
    void data(byte[] data);

    /** Ends an answer that was begun, as complete. */
    void end();

    /** Ends an answer in a way that the caller can't take for complete. */
    void abort();

    /** Whether the caller takes more data at once. */
    boolean writable();

    /** Looks whether the caller is still there, by what has arrived of it until now. */
    boolean callerPresent();
}
