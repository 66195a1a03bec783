package org.streamring.entry.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.streamring.model.request.Refusal;
import org.streamring.model.request.RefusalReason;

/**
 * Refuses calls that do not arrive whole in time, so that slow senders hold no memory. Stands before the HTTP codec, as
 * headers may be what does not come. A connection on which nothing was sent is closed without an answer.
 */
final class SlowCallGuard extends ChannelInboundHandlerAdapter {
    private final Duration wholeCall;
    private @Nullable ScheduledFuture<?> timer;
    private boolean begun;

    /**
     * Creates one for one connection.
     *
     * @param wholeCall longest time from the opening of the connection, or from the first byte of a later call, to the
     *     call's last byte
     */
    SlowCallGuard(Duration wholeCall) {
        this.wholeCall = wholeCall;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) throws Exception {
        startTimer(context);
        super.channelActive(context);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) throws Exception {
        begun = true;
        if (timer == null) {
            startTimer(context);
        }
        super.channelRead(context, bytes);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        callArrived();
        super.channelInactive(context);
    }

    private void startTimer(ChannelHandlerContext context) {
        timer = context.executor().schedule(() -> tooSlow(context), wholeCall.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void tooSlow(ChannelHandlerContext context) {
        if (!begun) {
            context.close();
            return;
        }
        HttpAnswer answer =
                new HttpAnswer(context.channel(), false, UUID.randomUUID().toString());
        answer.refuse(Refusal.of(
                RefusalReason.CALL_TOO_SLOW, "the call did not arrive whole within " + wholeCall.toMillis() + " ms"));
    }

    /** A call is whole, or was answered without being whole. */
    void callArrived() {
        begun = false;
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
