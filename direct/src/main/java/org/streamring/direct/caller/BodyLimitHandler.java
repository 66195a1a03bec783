package org.streamring.direct.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import java.util.function.Supplier;
import org.streamring.model.route.CallerLimits;
import org.streamring.net.http.BodyAggregator;

/**
 * Applies the limit on bodies that is in force when a request begins. Has to precede the aggregator. Confined to the
 * event loop.
 */
final class BodyLimitHandler extends ChannelInboundHandlerAdapter {
    private final Supplier<CallerLimits> limits;
    private BodyAggregator aggregator;

    BodyLimitHandler(Supplier<CallerLimits> limits) {
        this.limits = limits;
        this.aggregator = new BodyAggregator(limits.get().maxBodyBytes());
    }

    BodyAggregator aggregator() {
        return aggregator;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        int maxBodyBytes = limits.get().maxBodyBytes();
        if (message instanceof HttpRequest && maxBodyBytes != aggregator.maxContentLength()) {
            BodyAggregator renewed = new BodyAggregator(maxBodyBytes);
            context.pipeline().replace(aggregator, null, renewed);
            aggregator = renewed;
        }
        super.channelRead(context, message);
    }
}
