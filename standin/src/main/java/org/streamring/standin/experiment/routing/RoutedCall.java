package org.streamring.standin.experiment.routing;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.jspecify.annotations.Nullable;

/** One streamed call through an entry: its times, and what its caller was told. */
final class RoutedCall implements AsyncHandler<Void> {
    private static final int OK = 200;
    private static final int TAIL_CHARACTERS = 400;

    private final long startNanos = System.nanoTime();
    private final int answerTokens;
    private long firstNanos;
    private long lastNanos;
    private int status;
    private String outcome = "";
    private String tail = "";

    /** What came of a call. */
    enum Result {
        WHOLE,
        REFUSED,
        BROKEN
    }

    RoutedCall(int answerTokens) {
        this.answerTokens = answerTokens;
    }

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
        byte[] bytes = part.getBodyPartBytes();
        if (bytes.length == 0) {
            return State.CONTINUE;
        }
        String text = new String(bytes, UTF_8);
        // Events may be cut anywhere, so the end is looked for in what came last.
        tail = (tail + text).substring(Math.max(0, tail.length() + text.length() - TAIL_CHARACTERS));
        if (text.contains("\"content\"")) {
            lastNanos = System.nanoTime();
            firstNanos = firstNanos == 0 ? lastNanos : firstNanos;
        }
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

    Result result() {
        if (status == OK && tail.contains("[DONE]") && tail.contains("\"answered\"")) {
            return Result.WHOLE;
        }
        return outcome.equals("not-run") ? Result.REFUSED : Result.BROKEN;
    }

    long firstMicros() {
        return TimeUnit.NANOSECONDS.toMicros(firstNanos - startNanos);
    }

    /** Mean time between tokens. */
    long gapMicros() {
        return TimeUnit.NANOSECONDS.toMicros(lastNanos - firstNanos) / Math.max(1, answerTokens - 1);
    }
}
