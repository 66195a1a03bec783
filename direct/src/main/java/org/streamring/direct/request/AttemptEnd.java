package org.streamring.direct.request;

import java.util.Optional;

/**
 * Result of an attempt.
 *
 * @param kind kind of the result
 * @param reason short name of the cause
 * @param answer failure answer of the backend server, if it sent one
 * @param progress progress of the answer, for an attempt that broke off
 */
record AttemptEnd(Kind kind, String reason, Optional<BufferedAnswer> answer, AttemptProgress progress) {
    enum Kind {
        /** The complete answer arrived. */
        WHOLE,
        /** No byte was sent. */
        NOT_SENT,
        /** No byte was sent, as the replica announced in the meantime that it is shutting down or backs off. */
        WITHDRAWN,
        /** The backend server stated that it does not run the request. */
        NOT_RUN,
        /** The backend server answered with a failure. */
        FAILED,
        /** No valid answer arrived; the request may have run. */
        BROKEN,
        /** Nothing arrived on this or any other connection to the backend server; the request may have run. */
        SILENT,
        /**
         * The connection fell silent. The request may have run, and the replica may be tried again over another
         * connection.
         */
        UNHEARD
    }

    /** Whether no byte was sent, so that sending the request to another replica does not count as a retry. */
    boolean unsent() {
        return kind == Kind.NOT_SENT || kind == Kind.WITHDRAWN;
    }

    static AttemptEnd whole() {
        return new AttemptEnd(Kind.WHOLE, "answered", Optional.empty(), AttemptProgress.NONE);
    }

    static AttemptEnd notSent(String reason) {
        return new AttemptEnd(Kind.NOT_SENT, reason, Optional.empty(), AttemptProgress.NONE);
    }

    static AttemptEnd withdrawn() {
        return new AttemptEnd(Kind.WITHDRAWN, "replica_takes_nothing", Optional.empty(), AttemptProgress.NONE);
    }

    static AttemptEnd notRun(String reason) {
        return new AttemptEnd(Kind.NOT_RUN, reason, Optional.empty(), AttemptProgress.NONE);
    }

    static AttemptEnd failed(BufferedAnswer answer) {
        return new AttemptEnd(
                Kind.FAILED, "status_" + answer.head().status(), Optional.of(answer), AttemptProgress.NONE);
    }

    static AttemptEnd unheard() {
        return new AttemptEnd(Kind.UNHEARD, "connection_silent", Optional.empty(), AttemptProgress.NONE);
    }

    static AttemptEnd silent() {
        return new AttemptEnd(Kind.SILENT, "replica_silent", Optional.empty(), AttemptProgress.NONE);
    }

    static AttemptEnd broken(String reason, AttemptProgress progress) {
        return new AttemptEnd(Kind.BROKEN, reason, Optional.empty(), progress);
    }
}
