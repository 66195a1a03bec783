package org.streamring.standin.experiment;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.jspecify.annotations.Nullable;

/** Records the times of a streamed answer (to the first part, between parts, in total) and its outcome header. */
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
        // An event may be split between body parts, so the end marker is searched for in the last characters received.
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

    /** Returns whether the answer is complete. */
    public boolean completed() {
        return status == OK && tail.contains("[DONE]");
    }

    /** Returns whether the outcome header states that the request was not run. */
    public boolean refused() {
        return outcome.equals("not-run");
    }

    /** Returns the time to the first part. */
    public long firstMicros() {
        return TimeUnit.NANOSECONDS.toMicros(firstNanos - startNanos);
    }

    /** Returns the time to the last part. */
    public long totalMicros() {
        return TimeUnit.NANOSECONDS.toMicros(lastNanos - startNanos);
    }

    /** Returns the mean time between parts. */
    long meanGapMicros() {
        return parts < 2 ? 0 : TimeUnit.NANOSECONDS.toMicros(lastNanos - firstNanos) / (parts - 1);
    }

    /** Returns the mean time between tokens of an answer of known length; a part may contain several tokens. */
    public long meanTokenMicros(int answerTokens) {
        return TimeUnit.NANOSECONDS.toMicros(lastNanos - firstNanos) / Math.max(1, answerTokens - 1);
    }
}
