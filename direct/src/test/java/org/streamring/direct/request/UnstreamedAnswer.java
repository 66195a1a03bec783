package org.streamring.direct.request;

import io.netty.handler.codec.http.HttpHeaders;
import org.streamring.direct.caller.AnswerWriter;

/** Writer of an answer that is not a stream; its caller reads at once. */
abstract class UnstreamedAnswer implements AnswerWriter {
    volatile boolean callerPresent = true;

    @Override
    public final void writeHead(int status, HttpHeaders headers) {
        throw new IllegalStateException("nothing is streamed here");
    }

    @Override
    public final void writeData(byte[] data) {
        throw new IllegalStateException("nothing is streamed here");
    }

    @Override
    public final void end() {
        throw new IllegalStateException("nothing is streamed here");
    }

    @Override
    public final boolean writable() {
        return true;
    }

    @Override
    public final boolean callerPresent() {
        return callerPresent;
    }
}
