package org.streamring.direct.caller;

import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.streamring.kernel.memory.MemoryRefusal;
import org.streamring.net.http.MergedRequestException;
import org.streamring.net.http.UnsupportedExpectationException;

/**
 * Refusal of a request that can't be read.
 *
 * @param status status of the answer
 * @param reason short name of the cause, for the log
 * @param text text of the answer
 * @param retryAfter time after which the caller may retry; empty if a retry is not suggested
 */
record UnreadableRequest(HttpResponseStatus status, String reason, String text, Optional<Duration> retryAfter) {
    private static final String UNREADABLE = "unreadable";
    private static final String NO_MEMORY = "no_memory";

    /** A request that stopped arriving, or whose head takes too long. */
    static final UnreadableRequest NOT_WHOLE = new UnreadableRequest(
            HttpResponseStatus.REQUEST_TIMEOUT, "not_whole", "the request did not arrive whole", Optional.empty());

    /** Time in which some of the bodies that occupy the memory have been answered. */
    private static final Duration MEMORY_RETRY_AFTER = Duration.ofSeconds(1);

    /** Returns the refusal of a request; empty if it can be served. */
    static Optional<UnreadableRequest> of(HttpRequest request) {
        if (request.decoderResult().isFailure()) {
            return Optional.of(ofCause(request.decoderResult().cause()));
        }
        return isLengthAmbiguous(request.headers())
                ? Optional.of(refusal(HttpResponseStatus.BAD_REQUEST, UNREADABLE, "both a length and chunks are given"))
                : Optional.empty();
    }

    /** Returns the headers of the answer. */
    HttpHeaders headers() {
        HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
        retryAfter.ifPresent(after -> headers.set(HttpHeaderNames.RETRY_AFTER, after.toSeconds()));
        return headers;
    }

    /** Returns the body of the answer. */
    byte[] body() {
        return (text + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private static UnreadableRequest ofCause(Throwable cause) {
        if (cause instanceof MemoryRefusedException refused) {
            return ofRefusedMemory(refused.reason());
        }
        return cause instanceof MergedRequestException
                ? refusal(HttpResponseStatus.BAD_REQUEST, "merged_head", cause.getMessage())
                : refusal(status(cause), UNREADABLE, "the request can't be read");
    }

    private static UnreadableRequest refusal(HttpResponseStatus status, String reason, String text) {
        return new UnreadableRequest(status, reason, text, Optional.empty());
    }

    private static UnreadableRequest ofRefusedMemory(MemoryRefusal reason) {
        return switch (reason) {
            case TOO_LARGE -> refusal(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, NO_MEMORY, "the body is too large");
            case ARRIVES_TOO_SLOWLY ->
                new UnreadableRequest(
                        HttpResponseStatus.REQUEST_TIMEOUT,
                        NO_MEMORY,
                        "the body arrives too slowly",
                        Optional.of(MEMORY_RETRY_AFTER));
            case QUEUE_FULL, WAITED_TOO_LONG ->
                new UnreadableRequest(
                        HttpResponseStatus.SERVICE_UNAVAILABLE,
                        NO_MEMORY,
                        "no memory for the body",
                        Optional.of(MEMORY_RETRY_AFTER));
        };
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
