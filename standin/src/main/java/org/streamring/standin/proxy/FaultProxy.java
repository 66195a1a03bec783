package org.streamring.standin.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Forwards TCP connections to one target, and injects faults. */
public final class FaultProxy implements AutoCloseable {
    /** What the proxy does with traffic. */
    public enum Mode {
        /** Forwards. */
        PASS,
        /** Closes connections and refuses new ones. */
        CUT,
        /** Resets connections and refuses new ones. */
        RESET,
        /** Keeps connections open but forwards nothing; what was held back is forwarded afterwards. */
        FREEZE,
        /** Forwards to the target only; what the target answers is lost for good. */
        ONE_WAY
    }

    private static final AttributeKey<Boolean> SILENT = AttributeKey.valueOf("silent");

    private final EventLoopGroup loops = new NioEventLoopGroup(1, new DefaultThreadFactory("proxy", true));
    private final Set<Channel> channels = ConcurrentHashMap.newKeySet();
    private final InetSocketAddress target;
    private final Channel listening;
    private volatile Mode mode = Mode.PASS;
    private volatile long delayMillis;

    /** Starts to listen on a free port, before a target on 127.0.0.1. */
    public FaultProxy(int targetPort) {
        this(0, targetPort);
    }

    /** Starts to listen on a port, before a target on 127.0.0.1. */
    public FaultProxy(int port, int targetPort) {
        this.target = new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort);
        ChannelFuture bound = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel child) {
                        accept(child);
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalStateException("can't listen", bound.cause());
        }
        listening = bound.channel();
    }

    /** Port in use. */
    public int port() {
        return ((InetSocketAddress) listening.localAddress()).getPort();
    }

    /** Address for HTTP clients. */
    public String url() {
        return "http://127.0.0.1:" + port();
    }

    /** Changes what is done with traffic, also of open connections. */
    public void setMode(Mode newMode) {
        mode = newMode;
        if (refuses()) {
            channels.forEach(channel -> channel.eventLoop().execute(() -> end(channel)));
        } else {
            channels.forEach(channel -> channel.config().setAutoRead(newMode != Mode.FREEZE));
        }
    }

    /**
     * Lets the connections that are open now fall silent for good: nothing passes, and neither side learns of an end.
     * New ones are served.
     */
    public void silenceOpenConnections() {
        channels.forEach(channel -> channel.attr(SILENT).set(true));
    }

    private static boolean silent(Channel channel) {
        return Boolean.TRUE.equals(channel.attr(SILENT).get());
    }

    private boolean refuses() {
        return mode == Mode.CUT || mode == Mode.RESET;
    }

    private void end(Channel channel) {
        if (mode == Mode.RESET && channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.close();
    }

    /** Delays what is forwarded from now on. */
    public void setDelay(long millis) {
        delayMillis = millis;
    }

    private void accept(SocketChannel accepted) {
        if (refuses()) {
            end(accepted);
            return;
        }
        Bootstrap connect = new Bootstrap()
                .group(loops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel created) {
                        created.pipeline().addLast(new Forwarder(accepted, true));
                    }
                });
        ChannelFuture connecting = connect.connect(target);
        accepted.pipeline().addLast(new Forwarder(connecting.channel(), false));
        connecting.addListener(done -> {
            if (!connecting.isSuccess()) {
                accepted.close();
                return;
            }
            channels.add(accepted);
            channels.add(connecting.channel());
            boolean read = mode != Mode.FREEZE;
            accepted.config().setAutoRead(read);
            connecting.channel().config().setAutoRead(read);
        });
    }

    private final class Forwarder extends ChannelInboundHandlerAdapter {
        private final Channel other;
        private final boolean fromTarget;

        private Forwarder(Channel other, boolean fromTarget) {
            this.other = other;
            this.fromTarget = fromTarget;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (silent(context.channel()) || (fromTarget && mode == Mode.ONE_WAY)) {
                ReferenceCountUtil.release(message);
            } else if (delayMillis > 0) {
                loops.schedule(() -> other.writeAndFlush(message), delayMillis, TimeUnit.MILLISECONDS);
            } else {
                other.writeAndFlush(message);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            channels.remove(context.channel());
            if (!silent(context.channel())) {
                other.close();
            }
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
