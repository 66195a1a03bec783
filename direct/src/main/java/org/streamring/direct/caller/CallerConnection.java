package org.streamring.direct.caller;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.streamring.net.process.ArrivedBytes;

/**
 * Connection of a caller. Serves its requests one at a time, in the order of their arrival.
 *
 * <p>The connection is read while a request is served, so that a disconnect of the caller is detected at once. Confined
 * to the event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final int MAX_PIPELINED = 16;

    private final RequestSink sink;
    private final LongSupplier clock;
    private final BooleanSupplier stopping;
    private final Deque<FullHttpRequest> pipelined = new ArrayDeque<>();
    private @Nullable ChannelHandlerContext context;
    private RequestSink.@Nullable ActiveRequest active;
    private @Nullable Writer writer;
    private long lastActivityMillis;

    CallerConnection(RequestSink sink, LongSupplier clock, BooleanSupplier stopping) {
        this.sink = sink;
        this.clock = clock;
        this.stopping = stopping;
        this.lastActivityMillis = clock.getAsLong();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    /** Closes the connection if it has been idle for longer than the given time. */
    void closeIfIdle(long idleMillis) {
        if (writer == null && pipelined.isEmpty() && clock.getAsLong() - lastActivityMillis > idleMillis) {
            channel().close();
        }
    }

    /** Closes the connection if no request is in progress. */
    void closeIfUnused() {
        if (writer == null && pipelined.isEmpty()) {
            channel().close();
        }
    }

    boolean busy() {
        return writer != null || !pipelined.isEmpty();
    }

    private Channel channel() {
        return Objects.requireNonNull(context).channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext reading, Object message) {
        lastActivityMillis = clock.getAsLong();
        if (!(message instanceof FullHttpRequest request)) {
            ReferenceCountUtil.release(message);
            return;
        }
        pipelined.addLast(request);
        if (pipelined.size() >= MAX_PIPELINED) {
            reading.channel().config().setAutoRead(false);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext complete) {
        serveNext();
    }

    private void serveNext() {
        if (writer != null) {
            return;
        }
        FullHttpRequest next = pipelined.pollFirst();
        if (next == null) {
            channel().config().setAutoRead(true);
            return;
        }
        try {
            serve(next);
        } finally {
            next.release();
        }
    }

    private void serve(FullHttpRequest request) {
        Writer created = new Writer(HttpUtil.isKeepAlive(request));
        writer = created;
        if (request.decoderResult().isFailure()) {
            refuseMalformed(request.decoderResult().cause());
            return;
        }
        if (ambiguousLength(request.headers())) {
            created.disableKeepAlive();
            created.writeText(HttpResponseStatus.BAD_REQUEST, "both a length and chunks are given");
            return;
        }
        byte[] body = new byte[request.content().readableBytes()];
        request.content().readBytes(body);
        CallerRequest callerRequest =
                new CallerRequest(request.method(), request.uri(), request.headers(), body, clock.getAsLong());
        RequestSink.ActiveRequest servedRequest = sink.serve(callerRequest, created);
        if (writer == created) {
            active = servedRequest;
        }
    }

    private static boolean ambiguousLength(HttpHeaders headers) {
        return headers.contains(HttpHeaderNames.TRANSFER_ENCODING) && headers.contains(HttpHeaderNames.CONTENT_LENGTH);
    }

    private void refuseMalformed(Throwable cause) {
        Writer refusalWriter = Objects.requireNonNull(writer);
        refusalWriter.disableKeepAlive();
        HttpResponseStatus status = cause instanceof TooLongFrameException
                ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                : HttpResponseStatus.BAD_REQUEST;
        refusalWriter.writeText(status, "the request can't be read");
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changed) {
        if (active != null) {
            active.writabilityChanged(changed.channel().isWritable());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        pipelined.forEach(FullHttpRequest::release);
        pipelined.clear();
        RequestSink.ActiveRequest activeRequest = active;
        active = null;
        if (activeRequest != null) {
            activeRequest.callerGone();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        failed.close();
    }

    private final class Writer implements AnswerWriter {
        private boolean keepAlive;

        private Writer(boolean keepAlive) {
            this.keepAlive = keepAlive;
        }

        private void disableKeepAlive() {
            keepAlive = false;
        }

        private void writeText(HttpResponseStatus status, String text) {
            HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
            writeFull(status.code(), headers, (text + "\n").getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void writeFull(int status, HttpHeaders headers, byte[] body) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
            response.headers().set(headers);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            setConnectionHeader(response.headers());
            finish(response);
        }

        @Override
        public void writeHead(int status, HttpHeaders headers) {
            DefaultHttpResponse response =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            response.headers().set(headers);
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            setConnectionHeader(response.headers());
            channel().write(response);
        }

        @Override
        public void writeData(byte[] data) {
            channel().writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(data)));
        }

        @Override
        public void end() {
            finish(LastHttpContent.EMPTY_LAST_CONTENT);
        }

        @Override
        public void abort() {
            answerFinished();
            channel().close();
        }

        @Override
        public boolean writable() {
            return channel().isWritable();
        }

        @Override
        public boolean callerPresent() {
            return ArrivedBytes.isOpenAfterReading(channel());
        }

        private void setConnectionHeader(HttpHeaders headers) {
            if (stopping.getAsBoolean()) {
                keepAlive = false;
            }
            if (!keepAlive) {
                headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
        }

        private void finish(Object last) {
            answerFinished();
            if (keepAlive) {
                channel().writeAndFlush(last);
                serveNext();
            } else {
                channel().writeAndFlush(last).addListener(ChannelFutureListener.CLOSE);
            }
        }

        private void answerFinished() {
            active = null;
            writer = null;
            lastActivityMillis = clock.getAsLong();
        }
    }
}
