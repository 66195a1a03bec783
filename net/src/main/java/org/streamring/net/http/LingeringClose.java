package org.streamring.net.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Ends a connection whose caller may still be sending. The caller sees the end at once, and what it sends until it
 * closes the connection as well is discarded. Closing over unread bytes would reset the connection, and the caller
 * might lose the last answer.
 */
public final class LingeringClose extends ChannelInboundHandlerAdapter {
    /** Time for the caller to read the last answer. */
    private static final long MAX_LINGER_MILLIS = 2_000;

    private LingeringClose() {}

    /** Ends a connection on which all answers are written. Has to be called on its event loop. */
    public static void start(Channel channel) {
        channel.pipeline().addFirst(new LingeringClose());
        channel.config().setAutoRead(true);
        ((DuplexChannel) channel).shutdownOutput();
        Future<?> timeout =
                channel.eventLoop().schedule(() -> channel.close(), MAX_LINGER_MILLIS, TimeUnit.MILLISECONDS);
        channel.closeFuture().addListener(closed -> timeout.cancel(false));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ReferenceCountUtil.release(message);
    }
}
