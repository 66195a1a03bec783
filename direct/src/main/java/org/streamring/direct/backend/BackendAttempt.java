package org.streamring.direct.backend;

import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/** One attempt to have a backend server answer a request. Confined to the event loop. */
public final class BackendAttempt {
    private final AttemptListener listener;
    private @Nullable BackendConnection connection;
    private OptionalLong sentMillis = OptionalLong.empty();
    private boolean finished;
    private boolean pausedByCaller;
    private boolean pausedForMemory;

    BackendAttempt(AttemptListener listener) {
        this.listener = listener;
    }

    /** Cancels the attempt; its listener is not called any more. */
    public void cancel() {
        finished = true;
        if (connection != null) {
            connection.cancel();
            connection = null;
        }
    }

    /**
     * Cancels the attempt by closing only the sending side of its connection. The listener receives what the backend
     * server still sends, until the server ends its answer or closes the connection.
     */
    public void drain() {
        if (connection != null) {
            connection.drain();
        }
    }

    /** Pauses or resumes reading the answer, because the caller does not read it or reads it again. */
    public void pauseReading(boolean paused) {
        pausedByCaller = paused;
        updateReading();
    }

    /** Pauses or resumes reading the answer, because there is no memory for it or there is some again. */
    public void pauseForMemory(boolean paused) {
        pausedForMemory = paused;
        updateReading();
    }

    private void updateReading() {
        if (connection != null) {
            connection.pauseReading(pausedByCaller || pausedForMemory);
        }
    }

    /**
     * Checks whether the connection of this attempt or its backend server is unresponsive.
     *
     * @param millis time in milliseconds within which a healthy backend server starts to answer
     */
    public Silence checkResponsiveness(long millis) {
        return connection == null ? Silence.NONE : connection.checkResponsiveness(millis);
    }

    /**
     * Returns when data was last received on the connection of this attempt, or when the request was sent if that is
     * later; 0 before the request was sent.
     */
    public long lastReadOrSentMillis() {
        return connection == null ? 0 : connection.lastReadOrSentMillis();
    }

    /** Returns whether the request was written to a connection. */
    public boolean sent() {
        return sentMillis.isPresent();
    }

    /** Returns when the request was written to a connection; empty before that. */
    public OptionalLong sentMillis() {
        return sentMillis;
    }

    void run(BackendConnection opened, BackendRequest request, long nowMillis) {
        if (finished) {
            opened.close();
            return;
        }
        sentMillis = OptionalLong.of(nowMillis);
        connection = opened;
        opened.send(request, new ConnectionEvents(), nowMillis);
    }

    void endNotSent(String reason) {
        failUnsent(AttemptFailure.NOT_SENT, reason);
    }

    /** Ends the attempt, because its request is no longer allowed to be sent. */
    void endWithdrawn() {
        failUnsent(AttemptFailure.WITHDRAWN, "the request may no longer be sent");
    }

    private void failUnsent(AttemptFailure failure, String reason) {
        if (!finished) {
            finished = true;
            listener.onFailure(failure, reason);
        }
    }

    /**
     * Forwards events to the listener of the attempt. Releases the connection before it reports the end, because the
     * connection may serve another request from then on.
     */
    private final class ConnectionEvents implements AttemptListener {
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
            finished = true;
            listener.onEnd();
        }

        @Override
        public void onFailure(AttemptFailure failure, String reason) {
            connection = null;
            finished = true;
            listener.onFailure(failure, reason);
        }
    }
}
