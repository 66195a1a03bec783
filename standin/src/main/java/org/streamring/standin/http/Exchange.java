package org.streamring.standin.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** One request to a stand-in, and the ways to answer it. */
public final class Exchange {
    private final Channel channel;
    private final String method;
    private final QueryStringDecoder uri;
    private final HttpHeaders headers;
    private final String body;
    private final AnswerNotices notices;

    Exchange(Channel channel, String method, String uri, HttpHeaders headers, String body, AnswerNotices notices) {
        this.channel = channel;
        this.notices = notices;
        this.method = method;
        this.uri = new QueryStringDecoder(uri);
        this.headers = headers;
        this.body = body;
    }

    /** HTTP method. */
    public String method() {
        return method;
    }

    /** Path without query. */
    public String path() {
        return uri.path();
    }

    /** A query parameter; empty if absent. */
    public String parameter(String name) {
        return uri.parameters().getOrDefault(name, List.of("")).get(0);
    }

    /** A header; empty if absent. */
    public String header(String name) {
        return headers.get(name, "");
    }

    /** Body as text. */
    public String body() {
        return body;
    }

    /** Answers whole. */
    public void answer(int status, String contentType, String content) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                Unpooled.copiedBuffer(content, StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        response.headers()
                .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        notices.headers().forEach(response.headers()::set);
        channel.writeAndFlush(response);
    }

    /** Answers with JSON. */
    public void answerJson(String json) {
        answer(HttpResponseStatus.OK.code(), "application/json", json);
    }

    /** Starts a stream of events. */
    public void beginEvents() {
        DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        notices.headers().forEach(response.headers()::set);
        channel.writeAndFlush(response);
    }

    /** Sends one event. */
    public void event(String data) {
        channel.writeAndFlush(
                new DefaultHttpContent(Unpooled.copiedBuffer("data: " + data + "\n\n", StandardCharsets.UTF_8)));
    }

    /** Ends a stream of events. */
    public void endEvents() {
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(ChannelFutureListener.CLOSE);
    }

    /** Closes without an answer. */
    public void breakOff() {
        channel.close();
    }

    /** Whether the other side is still there. */
    public boolean isOpen() {
        return channel.isActive();
    }
}
