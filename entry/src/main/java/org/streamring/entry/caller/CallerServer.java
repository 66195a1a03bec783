package org.streamring.entry.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import org.streamring.net.peer.PeerException;

/** Listens for callers. */
public final class CallerServer {
    private static final int MAX_LINE_BYTES = 8192;
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final int MAX_CHUNK_BYTES = 16_384;

    private final Channel channel;

    /**
     * Starts to listen.
     *
     * @param maxBodyBytes largest body accepted
     */
    public CallerServer(EventLoopGroup loops, InetSocketAddress address, int maxBodyBytes, CallReceiver receiver)
            throws PeerException {
        ChannelFuture bound = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel child) {
                        child.pipeline()
                                .addLast(
                                        new HttpServerCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES),
                                        new SlowCallGuard(),
                                        new CallAggregator(maxBodyBytes),
                                        new CallHandler(receiver));
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

    /** Takes no new connections. */
    public void close() {
        channel.close().awaitUninterruptibly();
    }
}
