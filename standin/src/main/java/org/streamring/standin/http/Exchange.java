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

/** A request to a stand-in, with methods to answer it. */
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

    /** Returns the HTTP method. */
    public String method() {
        return method;
    }

    /** Returns the path without the query. */
    public String path() {
        return uri.path();
    }

    /** Returns the value of a query parameter; empty if absent. */
    public String parameter(String name) {
        return uri.parameters().getOrDefault(name, List.of("")).get(0);
    }

    /** Returns the value of a header; empty if absent. */
    public String header(String name) {
        return headers.get(name, "");
    }

    /** Returns the body as text. */
    public String body() {
        return body;
    }

    /** Sends a complete answer. */
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

    /** Sends a complete JSON answer with status 200. */
    public void answerJson(String json) {
        answer(HttpResponseStatus.OK.code(), "application/json", json);
    }

    /** Starts an answer that is a stream of server-sent events. */
    public void beginEvents() {
        DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        notices.headers().forEach(response.headers()::set);
        channel.writeAndFlush(response);
    }

    /** Sends an event of the stream. */
    public void event(String data) {
        channel.writeAndFlush(
                new DefaultHttpContent(Unpooled.copiedBuffer("data: " + data + "\n\n", StandardCharsets.UTF_8)));
    }

    /** Ends the stream of events and closes the connection. */
    public void endEvents() {
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(ChannelFutureListener.CLOSE);
    }

    /** Closes the connection without completing the answer. */
    public void breakOff() {
        channel.close();
    }

    /** Returns whether the connection to the caller is still active. */
    public boolean isOpen() {
        return channel.isActive();
    }
}
