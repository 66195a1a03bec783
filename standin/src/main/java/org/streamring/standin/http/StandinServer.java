package org.streamring.standin.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.streamring.kernel.table.RowText;

/**
 * An HTTP server on a loopback port that passes all requests to a handler on its event loop. Control requests set the
 * notices of its answers, and make it fall silent for a while.
 */
public final class StandinServer implements AutoCloseable {
    private static final String CONTROL_PREFIX = "/control/";
    private static final String NOTICES_PATH = CONTROL_PREFIX + "notices";
    private static final String SILENCE_PATH = CONTROL_PREFIX + "silence";
    private static final int MAX_BODY_BYTES = 8 << 20;

    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1, new DefaultThreadFactory("standin", true));
    private final Consumer<Exchange> handler;
    private final Channel channel;
    private volatile AnswerNotices notices = AnswerNotices.NONE;

    /**
     * Starts the server.
     *
     * @param port port on 127.0.0.1; 0 for any free port
     */
    public StandinServer(int port, Consumer<Exchange> handler) {
        this.handler = handler;
        ChannelFuture bound = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel child) {
                        child.pipeline()
                                .addLast(
                                        new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), new Handler());
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalStateException("can't listen on port " + port, bound.cause());
        }
        channel = bound.channel();
    }

    /** Returns the bound port. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Returns the base URL for clients. */
    public String url() {
        return "http://127.0.0.1:" + port();
    }

    /** Returns the event loop of the server, for timers. */
    public ScheduledExecutorService timers() {
        return eventLoops;
    }

    private void handle(Exchange exchange) {
        if (exchange.path().equals(NOTICES_PATH)) {
            notices = RowText.read(exchange.body(), AnswerNotices.class);
            exchange.answerJson("{}");
        } else if (exchange.path().equals(SILENCE_PATH)) {
            exchange.answerJson("{}");
            fallSilent(RowText.read(exchange.body(), Silence.class));
        } else if (notices.turnsAway() && !exchange.path().startsWith(CONTROL_PREFIX)) {
            exchange.answer(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), "text/plain", "turned away");
        } else {
            handler.accept(exchange);
        }
    }

    /** Blocks the only event loop, so that neither connections nor requests are read and no timer runs meanwhile. */
    private void fallSilent(Silence silence) {
        eventLoops.execute(() -> {
            try {
                Thread.sleep(silence.millis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            handle(new Exchange(
                    context.channel(),
                    request.method().name(),
                    request.uri(),
                    request.headers(),
                    request.content().toString(StandardCharsets.UTF_8),
                    notices));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    @Override
    public void close() {
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
