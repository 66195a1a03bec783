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

/** A TCP proxy that forwards connections to a target and injects faults. */
public final class FaultProxy implements AutoCloseable {
    /** Handling of connections and data. */
    public enum Mode {
        /** Forwards data in both directions. */
        PASS,
        /** Closes all connections, including new ones. */
        CUT,
        /** Resets all connections, including new ones. */
        RESET,
        /** Keeps connections open but stops reading; pending data is forwarded when the mode ends. */
        FREEZE,
        /** Forwards data to the target only; data from the target is discarded. */
        ONE_WAY
    }

    private static final AttributeKey<Boolean> SILENCED = AttributeKey.valueOf("silent");

    private final EventLoopGroup eventLoops = new NioEventLoopGroup(1, new DefaultThreadFactory("proxy", true));
    private final Set<Channel> channels = ConcurrentHashMap.newKeySet();
    private final InetSocketAddress target;
    private final Channel serverChannel;
    private volatile Mode mode = Mode.PASS;
    private volatile long delayMillis;

    /** Starts a proxy on a free port for a target port, both on 127.0.0.1. */
    public FaultProxy(int targetPort) {
        this(0, targetPort);
    }

    /** Starts a proxy on the given port for a target port, both on 127.0.0.1. */
    public FaultProxy(int port, int targetPort) {
        this.target = new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort);
        ChannelFuture bound = new ServerBootstrap()
                .group(eventLoops)
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
            throw new IllegalStateException("proxy can't bind its port", bound.cause());
        }
        serverChannel = bound.channel();
    }

    /** Returns the bound port. */
    public int port() {
        return ((InetSocketAddress) serverChannel.localAddress()).getPort();
    }

    /** Returns the base URL for HTTP clients. */
    public String url() {
        return "http://127.0.0.1:" + port();
    }

    /** Changes the handling of new and open connections. */
    public void setMode(Mode newMode) {
        mode = newMode;
        if (refusesConnections()) {
            channels.forEach(channel -> channel.eventLoop().execute(() -> disconnect(channel)));
        } else {
            channels.forEach(channel -> channel.config().setAutoRead(newMode != Mode.FREEZE));
        }
    }

    /**
     * Silences the open connections permanently: all data is discarded, and the end of one side is not propagated to
     * the other. New connections are not affected.
     */
    public void silenceOpenConnections() {
        channels.forEach(channel -> channel.attr(SILENCED).set(true));
    }

    private static boolean silenced(Channel channel) {
        return Boolean.TRUE.equals(channel.attr(SILENCED).get());
    }

    private boolean refusesConnections() {
        return mode == Mode.CUT || mode == Mode.RESET;
    }

    private void disconnect(Channel channel) {
        if (mode == Mode.RESET && channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.close();
    }

    /** Sets the delay of data that is forwarded from now on; 0 for none. */
    public void setDelay(long millis) {
        delayMillis = millis;
    }

    private void accept(SocketChannel accepted) {
        if (refusesConnections()) {
            disconnect(accepted);
            return;
        }
        Bootstrap connect = new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel created) {
                        created.pipeline().addLast(new Forwarder(accepted, true));
                    }
                });
        ChannelFuture targetConnection = connect.connect(target);
        accepted.pipeline().addLast(new Forwarder(targetConnection.channel(), false));
        targetConnection.addListener(done -> {
            if (!targetConnection.isSuccess()) {
                accepted.close();
                return;
            }
            channels.add(accepted);
            channels.add(targetConnection.channel());
            boolean read = mode != Mode.FREEZE;
            accepted.config().setAutoRead(read);
            targetConnection.channel().config().setAutoRead(read);
        });
    }

    private final class Forwarder extends ChannelInboundHandlerAdapter {
        private final Channel peer;
        private final boolean fromTarget;

        private Forwarder(Channel peer, boolean fromTarget) {
            this.peer = peer;
            this.fromTarget = fromTarget;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (silenced(context.channel()) || (fromTarget && mode == Mode.ONE_WAY)) {
                ReferenceCountUtil.release(message);
            } else if (delayMillis > 0) {
                eventLoops.schedule(() -> peer.writeAndFlush(message), delayMillis, TimeUnit.MILLISECONDS);
            } else {
                peer.writeAndFlush(message);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            channels.remove(context.channel());
            if (!silenced(context.channel())) {
                peer.close();
            }
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
