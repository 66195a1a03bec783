package org.streamring.net.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes answers, and tells which bytes arrived behind the answer that was decoded last. */
public final class AnswerDecoder extends HttpResponseDecoder {
    private boolean answersHead;

    /**
     * Creates the decoder of a new connection.
     *
     * @param maxHeadBytes longest status line, and longest headers
     * @param maxChunkBytes longest part of a body that is passed on at once
     */
    public AnswerDecoder(int maxHeadBytes, int maxChunkBytes) {
        super(maxHeadBytes, maxHeadBytes, maxChunkBytes);
    }

    /** Has to be called when a request is sent: an answer to HEAD has no body, whatever its head says. */
    public void requestSent(HttpMethod method) {
        answersHead = HttpMethod.HEAD.equals(method);
    }

    /** Whether the answer that is awaited or was decoded last is one to HEAD. */
    public boolean answersHead() {
        return answersHead;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return answersHead || super.isContentAlwaysEmpty(message);
    }

    /** Returns the number of bytes that were received and not decoded yet. */
    public int undecodedBytes() {
        return actualReadableBytes();
    }

    /** Returns a copy of the bytes that were received and not decoded yet. */
    public byte[] undecoded() {
        return ByteBufUtil.getBytes(internalBuffer());
    }
}
