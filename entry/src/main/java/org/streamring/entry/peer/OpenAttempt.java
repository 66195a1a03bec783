package org.streamring.entry.peer;

import java.util.OptionalDouble;
import org.streamring.kernel.routing.AttemptResult;
import org.streamring.net.generated.Wire.Begin;
import org.streamring.net.generated.Wire.Chunk;
import org.streamring.net.generated.Wire.End;
import org.streamring.net.generated.Wire.Submit;
import org.streamring.net.peer.PeerConnection;

/** An attempt in progress at a sidecar, and what it will say about its replica. */
final class OpenAttempt {
    private static final int SERVER_ERROR = 500;
    private static final long FEWEST_TOKENS = 4;
    private static final double NANOS_PER_MILLI = 1e6;

    private final PeerConnection connection;
    private final AttemptListener listener;
    private final Submit submit;
    private final long startNanos = System.nanoTime();
    private volatile long firstChunkNanos;
    private volatile boolean cancelled;
    private volatile int status;

    /**
     * Creates one.
     *
     * @param connection the one connection on which frames about it count
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

    void cancelled() {
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
     * Milliseconds per token after the first, or of the whole call of a plain service; empty where the time says
     * nothing about the replica: answers in one piece, kept answers, short ones.
     */
    OptionalDouble pace(End end) {
        if (submit.getKeepAnswer() || result(end) != AttemptResult.SERVED) {
            return OptionalDouble.empty();
        }
        if (!submit.getModel()) {
            return OptionalDouble.of(millisSince(startNanos));
        }
        boolean measurable = submit.getStream() && end.getAnswerTokens() >= FEWEST_TOKENS && firstChunkNanos != 0;
        return measurable
                ? OptionalDouble.of(millisSince(firstChunkNanos) / (end.getAnswerTokens() - 1))
                : OptionalDouble.empty();
    }

    private static double millisSince(long nanos) {
        return (System.nanoTime() - nanos) / NANOS_PER_MILLI;
    }

    /** A server error is an answer to the caller, but a failure of the replica. */
    AttemptResult result(End end) {
        if (cancelled) {
            return AttemptResult.INCONCLUSIVE;
        }
        return end.getComplete() && status < SERVER_ERROR ? AttemptResult.SERVED : AttemptResult.FAILED;
    }
}
