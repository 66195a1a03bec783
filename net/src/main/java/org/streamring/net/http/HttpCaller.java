package org.streamring.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamring.net.process.ArrivedBytes;
import org.streamring.net.process.TcpClient;

/**
 * HTTP client of a single service that reuses idle connections.
 *
 * <p>A call that times out closes its connection, since a late response could not be matched to a call. The main limit
 * is an idle timeout between bytes: with a limit on the complete response alone, boxes with 10 Mbit/s links could not
 * read a 2 MB response within 1.8 s, however often they retried.
 *
 * <p>Responses do not name their call. Hence a connection is not used again once bytes arrived on it that belong to no
 * call, and a response whose head was read from two is a failed call of unknown outcome. Confined to its event loop.
 */
public final class HttpCaller {
    private static final Logger LOGGER = LoggerFactory.getLogger(HttpCaller.class);
    private static final int CONNECT_TIMEOUT_MILLIS = 600;
    private static final String DECODER = "decoder";
    private static final int MAX_HEAD_BYTES = 8_192;
    private static final int MAX_CHUNK_BYTES = 8_192;
    private static final int MAX_REPLY_BYTES = 8 * 1024 * 1024;
    /**
     * Timeout for the complete response, as a multiple of the idle timeout. The largest response takes 6.7 s at
     * 10 Mbit/s, where the shortest idle timeout is 1.2 s.
     */
    static final int TOTAL_TIMEOUT_FACTOR = 8;

    private final EventLoop loop;
    private final MergedHeadCheck headCheck;
    private InetSocketAddress address;
    private final Deque<Channel> idle = new ArrayDeque<>();

    /**
     * Creates a client; connections are opened on demand.
     *
     * @param singleHeaders names of headers that a response has at most once, beside those of HTTP
     */
    public HttpCaller(EventLoop loop, InetSocketAddress address, List<String> singleHeaders) {
        this.loop = loop;
        this.address = address;
        this.headCheck = new MergedHeadCheck(singleHeaders);
    }

    /** Sets the address of the service for subsequent calls; closes idle connections if it differs. */
    public void setAddress(InetSocketAddress other) {
        if (!other.equals(address)) {
            address = other;
            closeIdle();
        }
    }

    /**
     * Sends a request with a timeout for the complete response of 8 times the idle timeout.
     *
     * @param body JSON body; empty if the request has none
     * @param idleTimeoutMillis longest wait for the first byte of the response, and between two reads
     * @return future that completes on the event loop, exceptionally with {@link HttpCallException} if the call fails
     */
    public CompletableFuture<HttpReply> call(HttpMethod method, String target, byte[] body, long idleTimeoutMillis) {
        return call(method, target, body, idleTimeoutMillis, idleTimeoutMillis * TOTAL_TIMEOUT_FACTOR);
    }

    /**
     * Sends a request.
     *
     * @param body JSON body; empty if the request has none
     * @param idleTimeoutMillis longest wait for the first byte of the response, and between two reads
     * @param totalTimeoutMillis longest wait for the complete response
     * @return future that completes on the event loop, exceptionally with {@link HttpCallException} if the call fails
     */
    public CompletableFuture<HttpReply> call(
            HttpMethod method, String target, byte[] body, long idleTimeoutMillis, long totalTimeoutMillis) {
        Call call = new Call(method, target, body, idleTimeoutMillis, totalTimeoutMillis);
        call.scheduleTimeout(idleTimeoutMillis);
        Channel pooled = idle.pollFirst();
        while (pooled != null && !ArrivedBytes.isOpenAfterReading(pooled)) {
            pooled = idle.pollFirst();
        }
        if (pooled == null) {
            connect(call);
        } else {
            call.send(pooled);
        }
        return call.reply;
    }

    private void closeIdle() {
        idle.forEach(Channel::close);
        idle.clear();
    }

    private void connect(Call call) {
        ChannelFuture connecting = TcpClient.connect(loop, address, CONNECT_TIMEOUT_MILLIS, this::prepare);
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                call.fail(String.valueOf(done.cause()));
            } else if (call.reply.isDone()) {
                connecting.channel().close();
            } else {
                call.send(connecting.channel());
            }
        });
    }

    private void prepare(Channel created) {
        AnswerDecoder decoder = new AnswerDecoder(MAX_HEAD_BYTES, MAX_CHUNK_BYTES);
        ReplyHandler replies = new ReplyHandler(decoder);
        created.pipeline()
                .addLast(new ReceivedBytesHandler(replies), new HttpRequestEncoder())
                .addLast(DECODER, decoder)
                .addLast(new MergedHeadHandler(headCheck), new HttpObjectAggregator(MAX_REPLY_BYTES), replies);
        replies.ends = AnswerEndCheck.around(created, DECODER);
    }

    /** Request in progress; its timeout includes the time to connect. */
    private final class Call {
        private final HttpMethod method;
        private final String target;
        private final byte[] body;
        private final long idleTimeoutMillis;
        private final long totalTimeoutMillis;
        private final long startNanos = System.nanoTime();
        private final CompletableFuture<HttpReply> reply = new CompletableFuture<>();
        private long lastReadNanos = startNanos;
        private long receivedBytes;
        private @Nullable Future<?> timer;
        private @Nullable Channel channel;

        private Call(HttpMethod method, String target, byte[] body, long idleTimeoutMillis, long totalTimeoutMillis) {
            this.method = method;
            this.target = target;
            this.body = body;
            this.idleTimeoutMillis = idleTimeoutMillis;
            this.totalTimeoutMillis = totalTimeoutMillis;
        }

        private void recordReceived(int bytes) {
            lastReadNanos = System.nanoTime();
            receivedBytes += bytes;
        }

        private void scheduleTimeout(long millis) {
            timer = loop.schedule(this::checkTimeouts, millis, TimeUnit.MILLISECONDS);
        }

        private void checkTimeouts() {
            long untilIdleTimeout = idleTimeoutMillis - millisSince(lastReadNanos);
            long untilTotalTimeout = totalTimeoutMillis - millisSince(startNanos);
            long remainingMillis = Math.min(untilIdleTimeout, untilTotalTimeout);
            if (remainingMillis > 0) {
                scheduleTimeout(remainingMillis);
            } else {
                timedOut();
            }
        }

        private static long millisSince(long nanos) {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
        }

        private void send(Channel connected) {
            channel = connected;
            connected.pipeline().get(ReplyHandler.class).call = this;
            DefaultFullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, target, Unpooled.wrappedBuffer(body));
            request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
            if (body.length > 0) {
                request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
                request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            }
            connected.writeAndFlush(request);
        }

        /** Also closes the idle connections: usually all fail together, and each would time out another call. */
        private void timedOut() {
            closeIdle();
            fail("no answer in time, " + receivedBytes + " bytes received");
        }

        private void fail(String reason) {
            cancelTimer();
            if (channel != null) {
                channel.close();
            }
            String step = method + " " + target + " at " + address;
            reply.completeExceptionally(new HttpCallException(step, reason, channel != null));
        }

        private void cancelTimer() {
            if (timer != null) {
                timer.cancel(false);
            }
        }
    }

    /** Takes the bytes received, before they are decoded: those of a response, or those that belong to no call. */
    private static final class ReceivedBytesHandler extends ChannelInboundHandlerAdapter {
        private final ReplyHandler replies;

        private ReceivedBytesHandler(ReplyHandler replies) {
            this.replies = replies;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            Call waiting = replies.call;
            int count = bytes instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
            if (waiting == null) {
                ReferenceCountUtil.release(bytes);
                closeAfterStrayBytes(context.channel(), count);
                return;
            }
            waiting.recordReceived(count);
            context.fireChannelRead(bytes);
        }
    }

    private static void closeAfterStrayBytes(Channel channel, int count) {
        LOGGER.warn("stray_bytes service={} bytes={}", channel.remoteAddress(), count);
        channel.close();
    }

    /** Completes the call that is using the connection, once all bytes that have arrived are read. */
    private final class ReplyHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final AnswerDecoder decoder;
        private @Nullable AnswerEndCheck ends;
        private @Nullable Call call;
        private @Nullable Runnable completion;

        private ReplyHandler(AnswerDecoder decoder) {
            this.decoder = decoder;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            Call answered = call;
            call = null;
            if (answered == null) {
                context.close();
                return;
            }
            if (response.decoderResult().isFailure()) {
                answered.fail(
                        "malformed HTTP response: " + response.decoderResult().cause());
                return;
            }
            answered.cancelTimer();
            if (decoder.undecodedBytes() > 0) {
                closeAfterStrayBytes(context.channel(), decoder.undecodedBytes());
            } else if (!HttpUtil.isKeepAlive(response)) {
                context.close();
            }
            HttpReply completeReply = new HttpReply(
                    response.status().code(), response.headers(), ByteBufUtil.getBytes(response.content()));
            completion = () -> answered.reply.complete(completeReply);
        }

        /** The next call, which may be sent at once, must not take bytes for its response that arrived before it. */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            complete(context.channel());
            context.fireChannelReadComplete();
        }

        private void complete(Channel channel) {
            Runnable completing = completion;
            if (completing == null) {
                return;
            }
            completion = null;
            if (channel.isActive() && !Objects.requireNonNull(ends).endReceived()) {
                idle.addFirst(channel);
            }
            completing.run();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            complete(context.channel());
            idle.remove(context.channel());
            Call interrupted = call;
            call = null;
            if (interrupted != null) {
                interrupted.fail("connection closed before the response was complete");
            }
        }
    }
}
