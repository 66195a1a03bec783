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
 * Calls one HTTP service.
 *
 * <p>A call without an answer in time closes its connection, as an answer that comes later belongs to no call. An
 * answer is in time while its bytes keep coming: with a limit on the whole of it, boxes with links of 10 Mbit/s could
 * not read an answer of 2 MB in 1.8 s, however often they asked. Confined to its event loop.
 */
public final class HttpCaller {
    private static final int CONNECT_TIMEOUT_MILLIS = 600;
    private static final int MAX_REPLY_BYTES = 8 * 1024 * 1024;
    /**
     * Bounds the time for a whole answer, in parts of the longest silence. The largest answer takes 6.7 s at 10 Mbit/s,
     * where the shortest silence is 1.2 s.
     */
    static final int WHOLE_ANSWER_PARTS = 8;

    private final EventLoop loop;
    private InetSocketAddress address;
    private final Deque<Channel> idle = new ArrayDeque<>();

    /** Creates one without connections. */
    public HttpCaller(EventLoop loop, InetSocketAddress address) {
        this.loop = loop;
        this.address = address;
    }

    /** Calls another address from now on. */
    public void moveTo(InetSocketAddress other) {
        if (!other.equals(address)) {
            address = other;
            closeIdle();
        }
    }

    /**
     * Calls the service.
     *
     * @param body JSON body; empty for none
     * @param silenceMillis longest wait for the answer's first byte, and between two of its bytes
     * @return fails with {@link HttpCallException}
     */
    public CompletableFuture<HttpReply> call(HttpMethod method, String target, byte[] body, long silenceMillis) {
        return call(method, target, body, silenceMillis, silenceMillis * WHOLE_ANSWER_PARTS);
    }

    /**
     * Calls the service.
     *
     * @param body JSON body; empty for none
     * @param silenceMillis longest wait for the answer's first byte, and between two of its bytes
     * @param wholeMillis longest wait for the whole answer
     * @return fails with {@link HttpCallException}
     */
    public CompletableFuture<HttpReply> call(
            HttpMethod method, String target, byte[] body, long silenceMillis, long wholeMillis) {
        Call call = new Call(method, target, body, silenceMillis, wholeMillis);
        call.awaitBytes(silenceMillis);
        Channel kept = idle.pollFirst();
        while (kept != null && !kept.isActive()) {
            kept = idle.pollFirst();
        }
        if (kept == null) {
            connect(call);
        } else {
            call.send(kept);
        }
        return call.reply;
    }

    private void closeIdle() {
        idle.forEach(Channel::close);
        idle.clear();
    }

    private void connect(Call call) {
        ChannelFuture connecting =
                TcpClient.connect(loop, address, CONNECT_TIMEOUT_MILLIS, created -> created.pipeline()
                        .addLast(
                                new ByteWatch(),
                                new HttpClientCodec(),
                                new HttpObjectAggregator(MAX_REPLY_BYTES),
                                new ReplyHandler()));
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

    private final class Call {
        private final HttpMethod method;
        private final String target;
        private final byte[] body;
        private final long silenceMillis;
        private final long wholeMillis;
        private final long beganNanos = System.nanoTime();
        private final CompletableFuture<HttpReply> reply = new CompletableFuture<>();
        private long heardNanos = beganNanos;
        private long heardBytes;
        private @Nullable Future<?> timer;
        private @Nullable Channel channel;

        private Call(HttpMethod method, String target, byte[] body, long silenceMillis, long wholeMillis) {
            this.method = method;
            this.target = target;
            this.body = body;
            this.silenceMillis = silenceMillis;
            this.wholeMillis = wholeMillis;
        }

        private void heard(int bytes) {
            heardNanos = System.nanoTime();
            heardBytes += bytes;
        }

        private void awaitBytes(long millis) {
            timer = loop.schedule(this::checkProgress, millis, TimeUnit.MILLISECONDS);
        }

        private void checkProgress() {
            long untilSilent = silenceMillis - millisSince(heardNanos);
            long untilTooLong = wholeMillis - millisSince(beganNanos);
            long left = Math.min(untilSilent, untilTooLong);
            if (left > 0) {
                awaitBytes(left);
            } else {
                timedOut();
            }
        }

        private static long millisSince(long nanos) {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
        }

        private void send(Channel open) {
            channel = open;
            open.pipeline().get(ReplyHandler.class).call = this;
            DefaultFullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, target, Unpooled.wrappedBuffer(body));
            request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
            if (body.length > 0) {
                request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
                request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            }
            open.writeAndFlush(request);
        }

        /** Connections mostly fall silent together; tried one after the other, each would cost a call its time-out. */
        private void timedOut() {
            closeIdle();
            fail("no answer in time, " + heardBytes + " bytes of it came");
        }

        private void fail(String reason) {
            end();
            if (channel != null) {
                channel.close();
            }
            String step = method + " " + target + " at " + address;
            reply.completeExceptionally(new HttpCallException(step, reason, channel != null));
        }

        private void end() {
            if (timer != null) {
                timer.cancel(false);
            }
        }
    }

    /** Notes that bytes of an answer came. */
    private static final class ByteWatch extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            Call waiting = context.pipeline().get(ReplyHandler.class).call;
            if (waiting != null && bytes instanceof ByteBuf heard) {
                waiting.heard(heard.readableBytes());
            }
            context.fireChannelRead(bytes);
        }
    }

    private final class ReplyHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private @Nullable Call call;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            Call answered = call;
            call = null;
            if (answered == null || response.decoderResult().isFailure()) {
                context.close();
                if (answered != null) {
                    answered.fail("bytes that are no answer");
                }
                return;
            }
            answered.end();
            if (HttpUtil.isKeepAlive(response)) {
                idle.addFirst(context.channel());
            } else {
                context.close();
            }
            HttpReply whole = new HttpReply(response.status().code(), ByteBufUtil.getBytes(response.content()));
            answered.reply.complete(whole);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            idle.remove(context.channel());
            Call broken = call;
            call = null;
            if (broken != null) {
                broken.fail("the connection was closed");
            }
        }
    }
}
