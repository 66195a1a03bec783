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

/** Listening TCP socket. */
public final class ListeningSocket {
    private final Channel channel;

    /**
     * Binds the address and blocks until the socket is listening. Must not be called on an event loop.
     *
     * @param initializer sets up the pipeline of each accepted connection
     * @throws PeerException if the address cannot be bound
     */
    public ListeningSocket(EventLoopGroup loops, InetSocketAddress address, Consumer<SocketChannel> initializer)
            throws PeerException {
        ChannelFuture bound = open(loops, address, initializer).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new PeerException("listen", address.toString(), String.valueOf(bound.cause()));
        }
        channel = bound.channel();
    }

    /** Binds the address without blocking; the future completes once the socket is listening. */
    public static ChannelFuture open(
            EventLoopGroup loops, InetSocketAddress address, Consumer<SocketChannel> initializer) {
        return new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        initializer.accept(accepted);
                    }
                })
                .bind(address);
    }

    /** Returns the local port. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Closes the listening socket and blocks until it is closed; accepted connections stay open. */
    public void close() {
        channel.close().awaitUninterruptibly();
    }
}
