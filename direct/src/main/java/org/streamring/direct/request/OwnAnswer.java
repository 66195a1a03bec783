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
 * A final answer of the entry's own.
 *
 * @param status HTTP status
 * @param reason short name of the cause, for the caller and the log
 * @param retryAfter when asking again helps
 */
public record OwnAnswer(int status, String reason, Optional<Duration> retryAfter) {
    private static final double MILLIS = 1_000;

    /** A refusal for good. */
    public static OwnAnswer refusal(int status, String reason) {
        return new OwnAnswer(status, reason, Optional.empty());
    }

    /** The request has not run; it may be sent again after a while. */
    public static OwnAnswer later(String reason, Duration after) {
        return new OwnAnswer(503, reason, Optional.of(after));
    }

    /** The request may have run. */
    public static OwnAnswer unknown(int status, String reason) {
        return new OwnAnswer(status, reason, Optional.empty());
    }

    /** Writes the answer. */
    public void write(AnswerWriter writer, ForwardingHeaders names, String requestId) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        if (!requestId.isEmpty()) {
            headers.set(names.requestId(), requestId);
        }
        retryAfter.ifPresent(after -> headers.set(
                HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", after.toMillis() / MILLIS)));
        writer.whole(status, headers, ("{\"error\":\"" + reason + "\"}\n").getBytes(StandardCharsets.UTF_8));
    }
}
