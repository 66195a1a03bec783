package org.streamring.entry.caller;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.streamring.model.request.Refusal;
import org.streamring.model.request.RefusalReason;
import org.streamring.net.http.ArrivingRequest;
import org.streamring.net.process.ArrivedBytes;

/**
 * Refuses calls that are not received completely within a time limit, so that slow senders can't occupy memory. This
 * handler precedes the HTTP codec in the pipeline, because the headers may be the missing part. A connection on which
 * nothing was received is closed without an answer.
 */
final class CallTimeoutHandler extends ChannelInboundHandlerAdapter {
    private final Duration callTimeout;
    private final ArrivingRequest arriving;
    private final UnwrittenAnswers unwritten;
    private @Nullable ScheduledFuture<?> timer;
    private BooleanSupplier answerInProgress = () -> false;
    private boolean refused;

    /**
     * Creates a handler for one connection.
     *
     * @param callTimeout longest time from the opening of the connection, or from the first byte of a later call, until
     *     the last byte of the call
     * @param arriving tells whether a part of a call has arrived
     */
    CallTimeoutHandler(Duration callTimeout, ArrivingRequest arriving, UnwrittenAnswers unwritten) {
        this.callTimeout = callTimeout;
        this.arriving = arriving;
        this.unwritten = unwritten;
    }

    /** Sets whether an answer is in progress, before which no call behind it is refused. */
    void setAnswerInProgress(BooleanSupplier newAnswerInProgress) {
        answerInProgress = newAnswerInProgress;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) throws Exception {
        startTimer(context);
        super.channelActive(context);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) throws Exception {
        if (refused) {
            ReferenceCountUtil.release(bytes);
            return;
        }
        super.channelRead(context, bytes);
        if (timer == null && arriving.begun()) {
            startTimer(context);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        stopTimer();
        super.channelInactive(context);
    }

    private void startTimer(ChannelHandlerContext context) {
        timer = context.executor().schedule(() -> timeOut(context), callTimeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void timeOut(ChannelHandlerContext context) {
        if (!arriving.begun()) {
            context.close();
            return;
        }
        if (answerInProgress.getAsBoolean()) {
            startTimer(context);
            return;
        }
        refuse(
                context.channel(),
                Refusal.of(
                        RefusalReason.CALL_TOO_SLOW,
                        "the call was not received completely within " + callTimeout.toMillis() + " ms"));
    }

    private void refuse(Channel channel, Refusal refusal) {
        refused = true;
        stopTimer();
        HttpAnswer.last(channel, UUID.randomUUID().toString(), unwritten).refuse(refusal);
    }

    /** Refuses a call of which only a part has arrived, unless an answer is in progress. */
    void refuseIfArriving(Channel channel, Refusal refusal) {
        if (mayRefuse() && ArrivedBytes.isOpenAfterReading(channel) && mayRefuse() && arriving.begun()) {
            refuse(channel, refusal);
        }
    }

    private boolean mayRefuse() {
        return !refused && !answerInProgress.getAsBoolean();
    }

    /** Stops the timer, after a call was received completely or was answered before that. */
    void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
