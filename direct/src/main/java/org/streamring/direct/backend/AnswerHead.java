package org.streamring.direct.backend;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.OptionalLong;

/**
 * Status and headers of a backend server's answer.
 *
 * @param status HTTP status
 * @param headers headers as received
 */
public record AnswerHead(int status, HttpHeaders headers) {
    /** Returns the length of the body in bytes; empty if the head does not tell. */
    public OptionalLong length() {
        String length = headers.get(HttpHeaderNames.CONTENT_LENGTH);
        boolean chunked = headers.containsValue(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED, true);
        if (length == null || chunked) {
            return OptionalLong.empty();
        }
        try {
            return OptionalLong.of(Long.parseLong(length.trim()));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    /**
     * Returns whether the answer has neither a length nor chunks, so that only the end of its connection shows where it
     * ends. The process of a server that crashes ends its connections in the same way.
     */
    public boolean endsWithConnection() {
        boolean hasBody =
                status != HttpResponseStatus.NO_CONTENT.code() && status != HttpResponseStatus.NOT_MODIFIED.code();
        return hasBody
                && !headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                && !headers.containsValue(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED, true);
    }
}
