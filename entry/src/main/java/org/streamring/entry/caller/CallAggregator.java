package org.streamring.entry.caller;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.util.UUID;
import org.streamring.model.request.Refusal;
import org.streamring.model.request.RefusalReason;

/** Aggregates a call's body up to a limit. A larger body is refused with the standard error answer. */
final class CallAggregator extends HttpObjectAggregator {
    private final int maxBodyBytes;
    private final CallTimeoutHandler timeoutHandler;

    CallAggregator(int maxBodyBytes, CallTimeoutHandler timeoutHandler) {
        super(maxBodyBytes);
        this.maxBodyBytes = maxBodyBytes;
        this.timeoutHandler = timeoutHandler;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        timeoutHandler.stopTimer();
        HttpAnswer answer =
                new HttpAnswer(context.channel(), false, UUID.randomUUID().toString());
        answer.refuse(Refusal.of(RefusalReason.TOO_LARGE, "the body exceeds " + maxBodyBytes + " bytes"));
        context.channel().closeFuture().addListener(ChannelFutureListener.CLOSE);
    }
}
