package org.streamring.direct.request;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.streamring.direct.caller.AnswerWriter;
import org.streamring.platform.node.ForwardingHeaders;

/**
 * A final answer that the entry generates itself instead of passing on one of a backend server.
 *
 * @param status HTTP status
 * @param reason short name of the cause, for the caller and the log
 * @param retryAfter time after which the caller may retry; empty if a retry is not suggested
 */
public record LocalAnswer(int status, String reason, Optional<Duration> retryAfter) {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Returns a permanent refusal. */
    public static LocalAnswer refusal(int status, String reason) {
        return new LocalAnswer(status, reason, Optional.empty());
    }

    /** Returns a 503 answer to a request that has not run and may be retried after a delay. */
    public static LocalAnswer retryLater(String reason, Duration after) {
        return new LocalAnswer(503, reason, Optional.of(after));
    }

    /** Returns an answer to a request that may have run. */
    public static LocalAnswer outcomeUnknown(int status, String reason) {
        return new LocalAnswer(status, reason, Optional.empty());
    }

    /** Sends the answer to the caller. */
    public void write(AnswerWriter writer, ForwardingHeaders names, String requestId) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        if (!requestId.isEmpty()) {
            headers.set(names.requestId(), requestId);
        }
        retryAfter.ifPresent(after -> headers.set(
                HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", after.toMillis() / MILLIS_PER_SECOND)));
        writer.writeFull(status, headers, ("{\"error\":\"" + reason + "\"}\n").getBytes(StandardCharsets.UTF_8));
    }
}
