package org.streamring.standin.experiment;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.jspecify.annotations.Nullable;

/** Times of one streamed answer: to its first part, between parts, and in all; and what its caller was told. */
public final class StreamTimes implements AsyncHandler<Void> {
    private static final int OK = 200;
    private static final int TAIL_CHARACTERS = 400;

    private final long startNanos = System.nanoTime();
    private long firstNanos;
    private long lastNanos;
    private int parts;
    private int status;
    private String tail = "";
    private String outcome = "";

    @Override
    public State onStatusReceived(HttpResponseStatus responseStatus) {
        status = responseStatus.getStatusCode();
        return State.CONTINUE;
    }

    @Override
    public State onHeadersReceived(HttpHeaders headers) {
        outcome = headers.get("Streamring-Outcome", "");
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

    /** Whether the answer came to its regular end. */
    public boolean whole() {
        return status == OK && tail.contains("[DONE]");
    }

    /** Whether the caller was told that nothing ran. */
    public boolean refused() {
        return outcome.equals("not-run");
    }

    /** Time to the first part. */
    public long firstMicros() {
        return TimeUnit.NANOSECONDS.toMicros(firstNanos - startNanos);
    }

    /** Time to the last part. */
    public long totalMicros() {
        return TimeUnit.NANOSECONDS.toMicros(lastNanos - startNanos);
    }

    /** Mean time between parts. */
    long gapMicros() {
        return parts < 2 ? 0 : TimeUnit.NANOSECONDS.toMicros(lastNanos - firstNanos) / (parts - 1);
    }

    /** Mean time between tokens of an answer of known length; parts may carry several. */
    public long tokenMicros(int answerTokens) {
        return TimeUnit.NANOSECONDS.toMicros(lastNanos - firstNanos) / Math.max(1, answerTokens - 1);
    }
}
