package org.streamring.direct.backend;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.streamring.kernel.availability.BackendNotice;

/** Reads from an answer's head what the backend server says of itself. */
final class NoticeReader {
    /**
     * Of a longer time this much is heeded, so that a mistaken value doesn't keep a server unused for a day. One that
     * means it says so again at the single request that then tries it.
     */
    static final long LONGEST_REST_MILLIS = TimeUnit.MINUTES.toMillis(10);

    private static final Pattern SECONDS = Pattern.compile("\\d{1,15}(\\.\\d{1,15})?");
    private static final String YES = "1";
    private static final double MILLIS_PER_SECOND = 1_000;

    private final String leavingHeader;

    /**
     * Creates one.
     *
     * @param leavingHeader header by which a server says that it leaves
     */
    NoticeReader(String leavingHeader) {
        this.leavingHeader = leavingHeader;
    }

    BackendNotice read(int status, HttpHeaders headers) {
        boolean leaving = YES.equals(trimmed(headers.get(leavingHeader)));
        long rest = status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                ? restMillis(headers.get(HttpHeaderNames.RETRY_AFTER))
                : 0;
        return leaving || rest > 0 ? new BackendNotice(leaving, rest) : BackendNotice.NONE;
    }

    /** Anything but a number of seconds, such as a date, asks for no rest that could be told. */
    private static long restMillis(@Nullable String header) {
        String seconds = trimmed(header);
        if (!SECONDS.matcher(seconds).matches()) {
            return 0;
        }
        double millis = Double.parseDouble(seconds) * MILLIS_PER_SECOND;
        return (long) Math.ceil(Math.min(millis, (double) LONGEST_REST_MILLIS));
    }

    private static String trimmed(@Nullable String header) {
        return header == null ? "" : header.trim();
    }
}
