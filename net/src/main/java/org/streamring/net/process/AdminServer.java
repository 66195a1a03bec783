package org.streamring.net.process;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import org.streamring.net.peer.PeerException;

/** Serves {@code /metrics}, {@code /health} and {@code /ready} of a process. */
public final class AdminServer {
    private static final int MAX_BODY_BYTES = 1024;

    private final Channel channel;
    private final PrometheusMeterRegistry metrics;
    private final BooleanSupplier ready;

    /** Starts to listen. */
    public AdminServer(
            EventLoopGroup loops, InetSocketAddress address, PrometheusMeterRegistry metrics, BooleanSupplier ready)
            throws PeerException {
        this.metrics = metrics;
        this.ready = ready;
        ChannelFuture bound = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel child) {
                        child.pipeline()
                                .addLast(
                                        new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), new Handler());
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new PeerException("listen", address.toString(), String.valueOf(bound.cause()));
        }
        channel = bound.channel();
    }

    /** Port in use. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            switch (request.uri()) {
                case "/health" -> answer(context, HttpResponseStatus.OK, "ok\n");
                case "/ready" -> answerReady(context);
                case "/metrics" -> answer(context, HttpResponseStatus.OK, metrics.scrape());
                default -> answer(context, HttpResponseStatus.NOT_FOUND, "known are /health, /ready and /metrics\n");
            }
        }

        private void answerReady(ChannelHandlerContext context) {
            if (ready.getAsBoolean()) {
                answer(context, HttpResponseStatus.OK, "ready\n");
            } else {
                answer(context, HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready\n");
            }
        }

        private static void answer(ChannelHandlerContext context, HttpResponseStatus status, String text) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
            response.headers()
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }
    }
}
