package org.streamring.net.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import org.streamring.net.peer.FleetKey.Side;

/** Accepts connections from other processes of the fleet. */
public final class PeerServer {
    private final Channel channel;

    /** Starts to listen. */
    public PeerServer(
            EventLoopGroup loops, InetSocketAddress address, FleetKey fleetKey, PeerIdentity own, PeerListener listener)
            throws PeerException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel child) {
                        FrameCodec.install(child, new HandshakeHandler(Side.ACCEPTING, fleetKey, own, listener));
                    }
                });
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new PeerException("listen", address.toString(), String.valueOf(bound.cause()));
        }
        channel = bound.channel();
    }

    /** Port in use. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Stops to listen; open connections stay. */
    public void close() {
        channel.close().awaitUninterruptibly();
    }
}
