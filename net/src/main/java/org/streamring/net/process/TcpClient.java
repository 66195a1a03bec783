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

/** Makes TCP connections that send small messages at once. */
public final class TcpClient {
    private TcpClient() {}

    /**
     * Connects.
     *
     * @param timeoutMillis longest wait for the connection
     * @param handlers adds the handlers of a new connection
     */
    public static ChannelFuture connect(
            EventLoopGroup loops, InetSocketAddress address, int timeoutMillis, Consumer<Channel> handlers) {
        return new Bootstrap()
                .group(loops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel created) {
                        handlers.accept(created);
                    }
                })
                .connect(address);
    }
}
