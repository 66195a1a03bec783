package org.streamring.net.process;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
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

/** HTTP server for the {@code /metrics}, {@code /health} and {@code /ready} endpoints of a process. */
public final class AdminServer {
    private static final int MAX_BODY_BYTES = 1024;

    private final ListeningSocket listeningSocket;
    private final PrometheusMeterRegistry metrics;
    private final BooleanSupplier ready;

    /**
     * Binds the address and blocks until the socket is listening. Must not be called on an event loop.
     *
     * @param ready whether {@code /ready} returns 200 instead of 503; called on the event loop
     * @throws PeerException if the address cannot be bound
     */
    public AdminServer(
            EventLoopGroup loops, InetSocketAddress address, PrometheusMeterRegistry metrics, BooleanSupplier ready)
            throws PeerException {
        this.metrics = metrics;
        this.ready = ready;
        listeningSocket = new ListeningSocket(loops, address, accepted -> accepted.pipeline()
                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), new Handler()));
    }

    /** Returns the local port. */
    public int port() {
        return listeningSocket.port();
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            switch (request.uri()) {
                case "/health" -> respond(context, HttpResponseStatus.OK, "ok\n");
                case "/ready" -> respondReady(context);
                case "/metrics" -> respond(context, HttpResponseStatus.OK, metrics.scrape());
                default ->
                    respond(
                            context,
                            HttpResponseStatus.NOT_FOUND,
                            "not found; available are /health, /ready and /metrics\n");
            }
        }

        private void respondReady(ChannelHandlerContext context) {
            if (ready.getAsBoolean()) {
                respond(context, HttpResponseStatus.OK, "ready\n");
            } else {
                respond(context, HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready\n");
            }
        }

        private static void respond(ChannelHandlerContext context, HttpResponseStatus status, String text) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
            response.headers()
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }
    }
}
