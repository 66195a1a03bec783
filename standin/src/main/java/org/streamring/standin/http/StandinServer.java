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

/** Listens on a loopback port and hands requests to one handler. */
public final class StandinServer implements AutoCloseable {
    private static final String CONTROLS = "/control/";
    private static final String CONTROL = CONTROLS + "notices";
    private static final int MAX_BODY_BYTES = 8 << 20;

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1, new DefaultThreadFactory("standin", true));
    private final Consumer<Exchange> handler;
    private final Channel channel;
    private volatile AnswerNotices notices = AnswerNotices.NONE;

    /**
     * Starts to listen.
     *
     * @param port port on 127.0.0.1; 0 for any free one
     */
    public StandinServer(int port, Consumer<Exchange> handler) {
        this.handler = handler;
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
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalStateException("can't listen on port " + port, bound.cause());
        }
        channel = bound.channel();
    }

    /** Port in use. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Address for clients. */
    public String url() {
        return "http://127.0.0.1:" + port();
    }

    /** The server's event loop, for timers. */
    public ScheduledExecutorService timers() {
        return loops;
    }

    private void handle(Exchange exchange) {
        if (exchange.path().equals(CONTROL)) {
            notices = RowText.read(exchange.body(), AnswerNotices.class);
            exchange.answerJson("{}");
        } else if (notices.turnsAway() && !exchange.path().startsWith(CONTROLS)) {
            exchange.answer(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), "text/plain", "turned away");
        } else {
            handler.accept(exchange);
        }
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
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
