package org.streamring.net.process;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Opens TCP connections with Nagle's algorithm disabled, so that small messages are sent immediately. */
public final class TcpClient {
    private TcpClient() {}

    /**
     * Opens a connection without blocking.
     *
     * @param timeoutMillis connect timeout
     * @param initializer sets up the pipeline of the new connection
     */
    public static ChannelFuture connect(
            EventLoopGroup loops, InetSocketAddress address, int timeoutMillis, Consumer<Channel> initializer) {
        return new Bootstrap()
                .group(loops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel created) {
                        initializer.accept(created);
                    }
                })
                .connect(address);
    }
}
