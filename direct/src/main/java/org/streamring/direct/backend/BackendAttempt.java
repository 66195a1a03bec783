package org.streamring.direct.backend;

import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/** A request on its way to a backend server. Confined to the event loop. */
public final class BackendAttempt {
    private final AttemptListener listener;
    private @Nullable BackendConnection connection;
    private OptionalLong sentMillis = OptionalLong.empty();
    private boolean over;

    BackendAttempt(AttemptListener listener) {
        this.listener = listener;
    }

    /** Gives the attempt up; its listener hears nothing more. */
    public void cancel() {
        over = true;
        if (connection != null) {
            connection.cancel();
            connection = null;
        }
    }

    /** Stops or resumes reading the answer. */
    public void pauseReading(boolean paused) {
        if (connection != null) {
            connection.pauseReading(paused);
        }
    }

    /**
     * Judges the silence of this attempt's connection.
     *
     * @param millis a sound backend server answers within this time, or starts to
     */
    public Silence silence(long millis) {
        return connection == null ? Silence.NONE : connection.silence(millis);
    }

    /** When something was last heard on this attempt's connection, or when the request was sent; 0 before that. */
    public long quietSinceMillis() {
        return connection == null ? 0 : connection.quietSinceMillis();
    }

    /** Whether the request was written to a connection. */
    public boolean sent() {
        return sentMillis.isPresent();
    }

    /** When the request was written to a connection; empty before that. */
    public OptionalLong sentMillis() {
        return sentMillis;
    }

    void run(BackendConnection opened, BackendRequest request, long nowMillis) {
        if (over) {
            opened.close();
            return;
        }
        sentMillis = OptionalLong.of(nowMillis);
        connection = opened;
        opened.send(request, new Relay(), nowMillis);
    }

    void notSent(String reason) {
        failUnsent(AttemptFailure.NOT_SENT, reason);
    }

    /** The backend server takes nothing any more. */
    void withdrawn() {
        failUnsent(AttemptFailure.WITHDRAWN, "it takes nothing now");
    }

    private void failUnsent(AttemptFailure failure, String reason) {
        if (!over) {
            over = true;
            listener.onFailure(failure, reason);
        }
    }

    /** Lets go of the connection before the end is told, as it may serve another request from then on. */
    private final class Relay implements AttemptListener {
        @Override
        public void onHead(AnswerHead head) {
            listener.onHead(head);
        }

        @Override
        public void onData(byte[] data) {
            listener.onData(data);
        }

        @Override
        public void onEnd() {
            connection = null;
            over = true;
            listener.onEnd();
        }

        @Override
        public void onFailure(AttemptFailure failure, String reason) {
            connection = null;
            over = true;
            listener.onFailure(failure, reason);
        }
    }
}
