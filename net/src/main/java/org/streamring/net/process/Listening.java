package org.streamring.net.process;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.streamring.net.peer.PeerException;

/** A listening TCP socket. */
public final class Listening {
    private final Channel channel;

    /**
     * Starts to listen.
     *
     * @param prepare sets up the pipeline of every accepted connection
     */
    public Listening(EventLoopGroup loops, InetSocketAddress address, Consumer<SocketChannel> prepare)
            throws PeerException {
        ChannelFuture bound = open(loops, address, prepare).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new PeerException("listen", address.toString(), String.valueOf(bound.cause()));
        }
        channel = bound.channel();
    }

    /** Starts to listen without waiting, for callers on an event loop. */
    public static ChannelFuture open(EventLoopGroup loops, InetSocketAddress address, Consumer<SocketChannel> prepare) {
        return new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        prepare.accept(accepted);
                    }
                })
                .bind(address);
    }

    /** Port in use. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Accepts no more connections; open ones stay. */
    public void close() {
        channel.close().awaitUninterruptibly();
    }
}
