package org.streamring.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;

/**
 * Decodes the requests of a caller and encodes their answers. Unlike the codec of the library, it tells an
 * {@link ArrivingRequest} at which byte each request ends, and marks heads that were read from two requests as failed.
 */
public final class RequestCodec extends CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder> {
    private final ArrivingRequest arriving;
    private final MergedRequestCheck headCheck;
    /** Methods of the requests without an answer; an answer to HEAD has no body. */
    private final Queue<HttpMethod> methods = new ArrayDeque<>();

    /** Creates the codec of a new connection. */
    public RequestCodec(
            ArrivingRequest arriving,
            MergedRequestCheck headCheck,
            int maxLineBytes,
            int maxHeaderBytes,
            int maxChunkBytes) {
        this.arriving = arriving;
        this.headCheck = headCheck;
        init(new Decoder(maxLineBytes, maxHeaderBytes, maxChunkBytes), new Encoder());
    }

    private final class Decoder extends HttpRequestDecoder {
        private Decoder(int maxLineBytes, int maxHeaderBytes, int maxChunkBytes) {
            super(maxLineBytes, maxHeaderBytes, maxChunkBytes);
        }

        /** Decodes no more than one request, so that what remains in the buffer lies behind it. */
        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
            int before = out.size();
            super.decode(context, buffer, out);
            for (Object decoded : out.subList(before, out.size())) {
                if (decoded instanceof HttpRequest request) {
                    rejectIfMerged(request);
                    methods.add(request.method());
                    arriving.headDecoded(request);
                }
                if (decoded instanceof LastHttpContent) {
                    arriving.wholeBefore(buffer);
                }
            }
        }
    }

    private void rejectIfMerged(HttpRequest request) {
        if (request.decoderResult().isSuccess()) {
            headCheck
                    .defectOf(request)
                    .ifPresent(defect ->
                            request.setDecoderResult(DecoderResult.failure(new MergedRequestException(defect))));
        }
    }

    private final class Encoder extends HttpResponseEncoder {
        @Override
        protected boolean isContentAlwaysEmpty(HttpResponse response) {
            boolean interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            boolean toHead = !interim && HttpMethod.HEAD.equals(methods.poll());
            return toHead || super.isContentAlwaysEmpty(response);
        }
    }
}
