package org.streamring.net.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Aggregates the body of a request up to a limit. A request with a larger body or an expectation that is not supported
 * is passed on without its body and as failed, so that its refusal follows the answers to the requests before it. For
 * the same reason an interim answer is not written, but asked for by a {@link ContinueExpectedEvent}.
 */
public final class BodyAggregator extends HttpObjectAggregator {
    /** Creates an aggregator for bodies of up to this many bytes. */
    public BodyAggregator(int maxBodyBytes) {
        super(maxBodyBytes);
    }

    @Override
    protected void decode(ChannelHandlerContext context, HttpObject message, List<Object> out) throws Exception {
        if (message instanceof HttpRequest request && request.decoderResult().isSuccess()) {
            handleExpectation(context, request);
        }
        super.decode(context, message, out);
    }

    private void handleExpectation(ChannelHandlerContext context, HttpRequest request) {
        String expectation = request.headers().get(HttpHeaderNames.EXPECT);
        if (expectation == null || request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0) {
            return;
        }
        if (!HttpUtil.is100ContinueExpected(request)) {
            request.setDecoderResult(DecoderResult.failure(new UnsupportedExpectationException(expectation)));
        } else if (!isContentLengthInvalid(request, maxContentLength())) {
            context.fireUserEventTriggered(ContinueExpectedEvent.INSTANCE);
        }
    }

    @Override
    protected @Nullable Object newContinueResponse(HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
        return null;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        HttpRequest head = (HttpRequest) oversized;
        FullHttpRequest failed = new DefaultFullHttpRequest(
                head.protocolVersion(),
                head.method(),
                head.uri(),
                Unpooled.EMPTY_BUFFER,
                head.headers(),
                EmptyHttpHeaders.INSTANCE);
        failed.setDecoderResult(DecoderResult.failure(
                new TooLongHttpContentException("the body exceeds " + maxContentLength() + " bytes")));
        context.fireChannelRead(failed);
    }
}
