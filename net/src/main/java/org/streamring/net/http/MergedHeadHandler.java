package org.streamring.net.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpResponse;

/** Marks heads that were read from two answers as failed, so that clients reject them like undecodable ones. */
public final class MergedHeadHandler extends ChannelInboundHandlerAdapter {
    private final MergedHeadCheck check;

    /** Creates the handler of one connection; it has to follow the decoder. */
    public MergedHeadHandler(MergedHeadCheck check) {
        this.check = check;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof HttpResponse response && response.decoderResult().isSuccess()) {
            check.defectOf(response).ifPresent(defect -> reject(response, defect));
        }
        super.channelRead(context, message);
    }

    private static void reject(HttpResponse response, String defect) {
        response.setDecoderResult(DecoderResult.failure(new CorruptedFrameException("merged head: " + defect)));
    }
}
