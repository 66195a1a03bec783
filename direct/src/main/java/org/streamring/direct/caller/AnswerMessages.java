package org.streamring.direct.caller;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/** Creates the messages of which answers to callers consist. */
final class AnswerMessages {
    private AnswerMessages() {}

    static FullHttpResponse whole(int status, HttpHeaders headers, byte[] body) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
        response.headers().set(headers);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        return response;
    }

    /** Returns the head of an answer whose body has this length in bytes. */
    static HttpResponse head(int status, HttpHeaders headers, long length) {
        HttpResponse response = head(status, headers);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        return response;
    }

    static HttpResponse headOfChunks(int status, HttpHeaders headers) {
        HttpResponse response = head(status, headers);
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        return response;
    }

    static HttpResponse interim() {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE);
    }

    private static HttpResponse head(int status, HttpHeaders headers) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        response.headers().set(headers);
        return response;
    }
}
