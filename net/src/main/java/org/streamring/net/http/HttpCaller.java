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
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.streamring.net.process.TcpClient;

/**
 * HTTP client of a single service that reuses idle connections.
 *
 * <p>A call that times out closes its connection, since a late response could not be matched to a call. The main limit
 * is an idle timeout between bytes: with a limit on the complete response alone, boxes with 10 Mbit/s links could not
 * read a 2 MB response within 1.8 s, however often they retried. Confined to its event loop.
 */
public final class HttpCaller {
    private static final int CONNECT_TIMEOUT_MILLIS = 600;
    private static final String CODEC = "codec";
    private static final int MAX_REPLY_BYTES = 8 * 1024 * 1024;
    /**
     * Timeout for the complete response, as a multiple of the idle timeout. The largest response takes 6.7 s at
     * 10 Mbit/s, where the shortest idle timeout is 1.2 s.
     */
    static final int TOTAL_TIMEOUT_FACTOR = 8;

    private final EventLoop loop;
    private InetSocketAddress address;
    private final Deque<Channel> idle = new ArrayDeque<>();

    /** Creates a client; connections are opened on demand. */
    public HttpCaller(EventLoop loop, InetSocketAddress address) {
        this.loop = loop;
        this.address = address;
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
        while (pooled != null && !pooled.isActive()) {
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
        created.pipeline()
                .addLast(new ReceivedBytesHandler())
                .addLast(CODEC, new HttpClientCodec())
                .addLast(new HttpObjectAggregator(MAX_REPLY_BYTES), new ReplyHandler());
        AnswerEndCheck.around(created, CODEC);
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

    /** Records the bytes received, before they are decoded, to reset the idle timeout of the call. */
    private static final class ReceivedBytesHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            Call waiting = context.pipeline().get(ReplyHandler.class).call;
            if (waiting != null && bytes instanceof ByteBuf buffer) {
                waiting.recordReceived(buffer.readableBytes());
            }
            context.fireChannelRead(bytes);
        }
    }

    /** Completes the call that is using the connection. */
    private final class ReplyHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private @Nullable Call call;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            Call completed = call;
            call = null;
            if (completed == null || response.decoderResult().isFailure()) {
                context.close();
                if (completed != null) {
                    completed.fail("malformed or unexpected HTTP response");
                }
                return;
            }
            completed.cancelTimer();
            if (HttpUtil.isKeepAlive(response)) {
                idle.addFirst(context.channel());
            } else {
                context.close();
            }
            HttpReply completeReply = new HttpReply(
                    response.status().code(), response.headers(), ByteBufUtil.getBytes(response.content()));
            completed.reply.complete(completeReply);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            idle.remove(context.channel());
            Call interrupted = call;
            call = null;
            if (interrupted != null) {
                interrupted.fail("connection closed before the response was complete");
            }
        }
    }
}
