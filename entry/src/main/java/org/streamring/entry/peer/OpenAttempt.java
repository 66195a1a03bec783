package org.streamring.entry.peer;

import org.streamring.kernel.routing.AttemptResult;
import org.streamring.net.generated.Wire.Begin;
import org.streamring.net.generated.Wire.End;
import org.streamring.net.peer.PeerConnection;

/** An attempt in progress at a sidecar, and what it will say about its replica. */
final class OpenAttempt {
    private static final int SERVER_ERROR = 500;

    private final PeerConnection connection;
    private final AttemptListener listener;
    private volatile boolean cancelled;
    private volatile int status;

    /**
     * Creates one.
     *
     * @param connection the one connection on which frames about it count
     */
    OpenAttempt(PeerConnection connection, AttemptListener listener) {
        this.connection = connection;
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

    /** A server error is an answer to the caller, but a failure of the replica. */
    AttemptResult result(End end) {
        if (cancelled) {
            return AttemptResult.INCONCLUSIVE;
        }
        return end.getComplete() && status < SERVER_ERROR ? AttemptResult.SERVED : AttemptResult.FAILED;
    }
}
