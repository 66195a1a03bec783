package org.streamring.standin.experiment;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.jspecify.annotations.Nullable;

/** Times of one streamed answer: to its first part, between parts, and in all. */
final class StreamTimes implements AsyncHandler<Void> {
    private static final int OK = 200;
    private static final int TAIL_CHARACTERS = 400;

    private final long startNanos = System.nanoTime();
    private long firstNanos;
    private long lastNanos;
    private int parts;
    private int status;
    private String tail = "";

    @Override
    public State onStatusReceived(HttpResponseStatus responseStatus) {
        status = responseStatus.getStatusCode();
        return State.CONTINUE;
    }

    @Override
    public State onHeadersReceived(HttpHeaders headers) {
        return State.CONTINUE;
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) {
        if (part.length() == 0) {
            return State.CONTINUE;
        }
        lastNanos = System.nanoTime();
        if (parts == 0) {
            firstNanos = lastNanos;
        }
        parts++;
        // Events may be cut anywhere, so the end is looked for in what came last.
        String text = tail + new String(part.getBodyPartBytes(), UTF_8);
        tail = text.substring(Math.max(0, text.length() - TAIL_CHARACTERS));
        return State.CONTINUE;
    }

    @Override
    public void onThrowable(Throwable cause) {
        status = 0;
    }

    @Override
    public @Nullable Void onCompleted() {
        return null;
    }

    boolean whole() {
        return status == OK && tail.contains("[DONE]");
    }

    long firstMicros() {
        return TimeUnit.NANOSECONDS.toMicros(firstNanos - startNanos);
    }

    long totalMicros() {
        return TimeUnit.NANOSECONDS.toMicros(lastNanos - startNanos);
    }

    /** Mean time between parts. */
    long gapMicros() {
        return parts < 2 ? 0 : TimeUnit.NANOSECONDS.toMicros(lastNanos - firstNanos) / (parts - 1);
    }
}
