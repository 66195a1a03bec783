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
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Listens on a loopback port and hands requests to one handler. */
public final class StandinServer implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 8 << 20;

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1, new DefaultThreadFactory("standin", true));
    private final Channel channel;

    /**
     * Starts to listen.
     *
     * @param port port on 127.0.0.1; 0 for any free one
     */
    public StandinServer(int port, Consumer<Exchange> handler) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel child) {
                        child.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                        new Handler(handler));
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

    private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Consumer<Exchange> handler;

        private Handler(Consumer<Exchange> handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            handler.accept(new Exchange(
                    context.channel(),
                    request.method().name(),
                    request.uri(),
                    request.headers(),
                    request.content().toString(StandardCharsets.UTF_8)));
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
