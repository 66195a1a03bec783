package org.streamring.entry.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Closes connections whose call does not arrive whole in time, so that slow senders hold no memory. */
final class SlowCallGuard extends ChannelInboundHandlerAdapter {
    private static final long WHOLE_CALL_SECONDS = 30;

    private @Nullable ScheduledFuture<?> timer;

    @Override
    public void channelActive(ChannelHandlerContext context) throws Exception {
        startTimer(context);
        super.channelActive(context);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof HttpRequest && timer == null) {
            startTimer(context);
        }
        if (message instanceof LastHttpContent) {
            stopTimer();
        }
        super.channelRead(context, message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        stopTimer();
        super.channelInactive(context);
    }

    private void startTimer(ChannelHandlerContext context) {
        timer = context.executor().schedule(() -> context.close(), WHOLE_CALL_SECONDS, TimeUnit.SECONDS);
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
