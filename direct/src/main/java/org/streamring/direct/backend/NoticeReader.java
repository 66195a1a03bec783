package org.streamring.direct.backend;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.streamring.kernel.availability.BackendNotice;

/** Reads from the head of an answer whether the backend server is shutting down or requests a back-off. */
final class NoticeReader {
    /**
     * Longest back-off. Longer values are shortened to it, so that a wrong value does not keep a server unused for a
     * day. A server that needs more time requests it again in its answer to the single probe request that follows.
     */
    static final long MAX_BACK_OFF_MILLIS = TimeUnit.MINUTES.toMillis(10);

    private static final Pattern SECONDS = Pattern.compile("\\d{1,15}(\\.\\d{1,15})?");
    private static final String SHUTTING_DOWN = "1";
    private static final double MILLIS_PER_SECOND = 1_000;

    private final String shutdownHeader;

    /**
     * Creates a reader.
     *
     * @param shutdownHeader name of the header in which a server announces that it is shutting down
     */
    NoticeReader(String shutdownHeader) {
        this.shutdownHeader = shutdownHeader;
    }

    BackendNotice read(int status, HttpHeaders headers) {
        boolean shuttingDown = SHUTTING_DOWN.equals(trimmed(headers.get(shutdownHeader)));
        long backOff = status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                ? backOffMillis(headers.get(HttpHeaderNames.RETRY_AFTER))
                : 0;
        return shuttingDown || backOff > 0 ? new BackendNotice(shuttingDown, backOff) : BackendNotice.NONE;
    }

    /** Converts a Retry-After value to milliseconds; 0 unless it is a number of seconds. Dates are not supported. */
    private static long backOffMillis(@Nullable String header) {
        String seconds = trimmed(header);
        if (!SECONDS.matcher(seconds).matches()) {
            return 0;
        }
        double millis = Double.parseDouble(seconds) * MILLIS_PER_SECOND;
        return (long) Math.ceil(Math.min(millis, (double) MAX_BACK_OFF_MILLIS));
    }

    private static String trimmed(@Nullable String header) {
        return header == null ? "" : header.trim();
    }
}
