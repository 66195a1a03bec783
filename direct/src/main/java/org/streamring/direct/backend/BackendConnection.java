package org.streamring.direct.backend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * One connection to a backend server; it serves one request at a time.
 *
 * <p>An answer that does not carry the identifier of the request in progress is a surplus one and is skipped; bytes
 * while no request is in progress close the connection. Confined to the channel's event loop.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {
    private final BackendPool pool;
    private final String requestIdHeader;
    private @Nullable Channel channel;
    private @Nullable BackendRequest request;
    private @Nullable AttemptListener listener;
    private boolean skipping;
    private boolean headSeen;
    private boolean answerHasFraming;
    private boolean reusable;
    private long keepAliveMillis;
    private long lastUseMillis;
    private long startedMillis;
    private long heardMillis;
    private boolean paused;
    private int requests;

    BackendConnection(BackendPool pool, String requestIdHeader) {
        this.pool = pool;
        this.requestIdHeader = requestIdHeader;
    }

    void opened(Channel opened) {
        channel = opened;
    }

    boolean isOpen() {
        return channel != null && channel.isActive();
    }

    long lastUseMillis() {
        return lastUseMillis;
    }

    long keepAliveMillis() {
        return keepAliveMillis;
    }

    boolean busy() {
        return listener != null;
    }

    /** A connection that this side does not read for its caller's sake is not silent. */
    Silence silence(long millis) {
        return paused ? Silence.NONE : pool.silence(this, millis);
    }

    /** When something was last heard of the request in progress, or when it was sent. */
    long quietSinceMillis() {
        return Math.max(startedMillis, heardMillis);
    }

    /** Whether the request in progress is not the first one. */
    boolean reused() {
        return requests > 1;
    }

    /** Urgency of the request in progress, 0 being the most urgent. */
    int urgency() {
        return request == null ? 0 : request.urgency();
    }

    /** Whether this connection's first request was sent by then and has heard nothing. */
    boolean waitsSinceItsOpening(long millis) {
        return busy() && !reused() && heardMillis < startedMillis && startedMillis < millis;
    }

    void send(BackendRequest next, AttemptListener nextListener, long nowMillis) {
        Channel open = Objects.requireNonNull(channel);
        request = next;
        listener = nextListener;
        headSeen = false;
        skipping = false;
        startedMillis = nowMillis;
        requests++;
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, next.method(), next.target(), Unpooled.wrappedBuffer(next.body()));
        message.headers().set(next.headers());
        if (next.body().length > 0 || next.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, next.body().length);
        }
        open.writeAndFlush(message);
    }

    /**
     * Gives the request up by a reset, which drops what of it the operating system still holds; a close would send that
     * first, for seconds where the box's link is full.
     */
    void cancel() {
        listener = null;
        if (channel != null && channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        close();
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    void pauseReading(boolean pause) {
        if (paused && !pause) {
            heardMillis = pool.nowMillis();
        }
        paused = pause;
        if (channel != null) {
            channel.config().setAutoRead(!pause);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            pool.heard();
            heardMillis = pool.nowMillis();
            if (listener == null) {
                noticeSurplus(message);
                close();
                return;
            }
            if (message instanceof HttpResponse response) {
                readHead(response);
            }
            if (message instanceof HttpContent content) {
                readContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** An answer that nobody waits for still tells something of its server. */
    private void noticeSurplus(Object message) {
        if (message instanceof HttpResponse response && response.decoderResult().isSuccess()) {
            pool.noticed(response, 0);
        }
    }

    private void readHead(HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            fail("bytes that are no answer");
            return;
        }
        if (response.status().code() < 200) {
            skipping = true;
            return;
        }
        String id = response.headers().get(requestIdHeader);
        skipping = id != null && request != null && !id.equals(request.id());
        pool.noticed(response, skipping ? 0 : startedMillis);
        if (skipping) {
            return;
        }
        if (id == null && response.status().code() < 300) {
            fail("a success without the request's identifier");
            return;
        }
        headSeen = true;
        pool.answered(urgency(), startedMillis);
        reusable = HttpUtil.isKeepAlive(response);
        answerHasFraming = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
        keepAliveMillis = KeepAlive.millis(response.headers().get("Keep-Alive"));
        current().onHead(new AnswerHead(response.status().code(), response.headers()));
    }

    private void readContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            fail("the answer's body can't be read");
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (skipping) {
            return;
        }
        if (!headSeen || listener == null) {
            return;
        }
        ByteBuf bytes = content.content();
        if (bytes.isReadable()) {
            byte[] data = new byte[bytes.readableBytes()];
            bytes.readBytes(data);
            current().onData(data);
        }
        if (last && listener != null) {
            finish();
        }
    }

    private void finish() {
        AttemptListener finished = current();
        listener = null;
        request = null;
        lastUseMillis = pool.nowMillis();
        pauseReading(false);
        if (reusable && answerHasFraming) {
            pool.idle(this);
        } else {
            close();
        }
        finished.onEnd();
    }

    private void fail(String reason) {
        AttemptListener failed = listener;
        listener = null;
        close();
        if (failed != null) {
            failed.onFailure(AttemptFailure.BROKEN, reason);
        }
    }

    private AttemptListener current() {
        return Objects.requireNonNull(listener);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(cause.toString());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.closed(this);
        fail("the connection was closed");
    }
}
