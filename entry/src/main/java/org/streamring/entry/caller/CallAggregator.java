package org.streamring.entry.caller;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.util.UUID;
import org.streamring.model.request.Refusal;
import org.streamring.model.request.RefusalReason;

/** Gathers a call's body up to a limit; a larger one is refused in the ordinary form. */
final class CallAggregator extends HttpObjectAggregator {
    private final int maxBodyBytes;
    private final SlowCallGuard guard;

    CallAggregator(int maxBodyBytes, SlowCallGuard guard) {
        super(maxBodyBytes);
        this.maxBodyBytes = maxBodyBytes;
        this.guard = guard;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        guard.callArrived();
        HttpAnswer answer =
                new HttpAnswer(context.channel(), false, UUID.randomUUID().toString());
        answer.refuse(Refusal.of(RefusalReason.TOO_LARGE, "the body is larger than " + maxBodyBytes + " bytes"));
        context.channel().closeFuture().addListener(ChannelFutureListener.CLOSE);
    }
}
