package org.streamring.direct.request;

import java.util.Optional;

/**
 * Result of an attempt.
 *
 * @param kind kind of the result
 * @param reason short name of the cause
 * @param answer failure answer of the backend server, if it sent one
 * @param detail what failed in the connection or the answer; empty if the reason tells it all
 * @param progress progress of the answer, for an attempt that broke off
 */
record AttemptEnd(Kind kind, String reason, String detail, Optional<BufferedAnswer> answer, AttemptProgress progress) {
    private static final String NO_DETAIL = "";

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
        return of(Kind.WHOLE, "answered");
    }

    static AttemptEnd notSent(String reason) {
        return of(Kind.NOT_SENT, reason);
    }

    static AttemptEnd withdrawn() {
        return of(Kind.WITHDRAWN, "replica_takes_nothing");
    }

    static AttemptEnd notRun(String reason) {
        return of(Kind.NOT_RUN, reason);
    }

    static AttemptEnd failed(BufferedAnswer answer) {
        return new AttemptEnd(
                Kind.FAILED, "status_" + answer.head().status(), NO_DETAIL, Optional.of(answer), AttemptProgress.NONE);
    }

    static AttemptEnd unheard() {
        return of(Kind.UNHEARD, "connection_silent");
    }

    static AttemptEnd silent() {
        return of(Kind.SILENT, "replica_silent");
    }

    static AttemptEnd broken(String reason, String detail, AttemptProgress progress) {
        return new AttemptEnd(Kind.BROKEN, reason, detail, Optional.empty(), progress);
    }

    private static AttemptEnd of(Kind kind, String reason) {
        return new AttemptEnd(kind, reason, NO_DETAIL, Optional.empty(), AttemptProgress.NONE);
    }
}
