package org.streamring.entry.peer;

import java.util.OptionalDouble;
import org.streamring.kernel.routing.AttemptResult;
import org.streamring.net.generated.Wire.Begin;
import org.streamring.net.generated.Wire.Chunk;
import org.streamring.net.generated.Wire.End;
import org.streamring.net.generated.Wire.Submit;
import org.streamring.net.peer.PeerConnection;

/** Attempt in progress at a sidecar. Measures the service time of the replica. */
final class OpenAttempt {
    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final long MIN_TOKENS_TO_MEASURE = 4;
    private static final double NANOS_PER_MILLI = 1e6;

    private final PeerConnection connection;
    private final AttemptListener listener;
    private final Submit submit;
    private final long startNanos = System.nanoTime();
    private volatile long firstChunkNanos;
    private volatile boolean cancelled;
    private volatile int status;

    /**
     * Creates an open attempt.
     *
     * @param connection connection that the attempt was sent on; frames about it on other connections are dropped
     */
    OpenAttempt(PeerConnection connection, Submit submit, AttemptListener listener) {
        this.connection = connection;
        this.submit = submit;
        this.listener = listener;
    }

    PeerConnection connection() {
        return connection;
    }

    AttemptListener listener() {
        return listener;
    }

    void markCancelled() {
        cancelled = true;
    }

    void begun(Begin begin) {
        status = begin.getStatus();
        listener.begun(begin);
    }

    void chunk(Chunk chunk) {
        if (firstChunkNanos == 0) {
            firstChunkNanos = System.nanoTime();
        }
        listener.chunk(chunk);
    }

    /**
     * Returns the milliseconds per token after the first, or the duration of the whole call of a plain service. Returns
     * empty if the time does not describe the speed of the replica: for answers that are not streamed, kept answers and
     * short answers.
     */
    OptionalDouble serviceTimeMillis(End end) {
        if (submit.getKeepAnswer() || result(end) != AttemptResult.SERVED) {
            return OptionalDouble.empty();
        }
        if (!submit.getModel()) {
            return OptionalDouble.of(millisSince(startNanos));
        }
        boolean measurable =
                submit.getStream() && end.getAnswerTokens() >= MIN_TOKENS_TO_MEASURE && firstChunkNanos != 0;
        return measurable
                ? OptionalDouble.of(millisSince(firstChunkNanos) / (end.getAnswerTokens() - 1))
                : OptionalDouble.empty();
    }

    private static double millisSince(long nanos) {
        return (System.nanoTime() - nanos) / NANOS_PER_MILLI;
    }

    /** Returns the result for the replica. A server error is an answer to the caller, but a failure of the replica. */
    AttemptResult result(End end) {
        if (cancelled) {
            return AttemptResult.INCONCLUSIVE;
        }
        return end.getComplete() && status < MIN_SERVER_ERROR_STATUS ? AttemptResult.SERVED : AttemptResult.FAILED;
    }
}
