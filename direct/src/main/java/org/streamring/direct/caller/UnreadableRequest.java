package org.streamring.direct.caller;

import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.util.Optional;
import org.streamring.net.http.UnsupportedExpectationException;

/**
 * Refusal of a request that can't be read.
 *
 * @param status status of the answer
 * @param text text of the answer
 */
record UnreadableRequest(HttpResponseStatus status, String text) {
    /** Returns the refusal of a request; empty if it can be served. */
    static Optional<UnreadableRequest> of(FullHttpRequest request) {
        if (request.decoderResult().isFailure()) {
            return Optional.of(
                    new UnreadableRequest(status(request.decoderResult().cause()), "the request can't be read"));
        }
        return isLengthAmbiguous(request.headers())
                ? Optional.of(
                        new UnreadableRequest(HttpResponseStatus.BAD_REQUEST, "both a length and chunks are given"))
                : Optional.empty();
    }

    private static HttpResponseStatus status(Throwable cause) {
        if (cause instanceof TooLongHttpContentException) {
            return HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
        }
        if (cause instanceof UnsupportedExpectationException) {
            return HttpResponseStatus.EXPECTATION_FAILED;
        }
        return cause instanceof TooLongFrameException
                ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                : HttpResponseStatus.BAD_REQUEST;
    }

    private static boolean isLengthAmbiguous(HttpHeaders headers) {
        return headers.contains(HttpHeaderNames.TRANSFER_ENCODING) && headers.contains(HttpHeaderNames.CONTENT_LENGTH);
    }
}
