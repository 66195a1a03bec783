package org.streamring.direct.request;

import java.util.Optional;

/**
 * How an attempt ended.
 *
 * @param kind what is known of it
 * @param reason short name of the cause
 * @param answer the backend server's own failure, if it gave one
 */
record AttemptEnd(Kind kind, String reason, Optional<BufferedAnswer> answer) {
    enum Kind {
        /** The caller has the whole answer. */
        WHOLE,
        /** No byte was sent. */
        NOT_SENT,
        /** No byte was sent, as the replica said meanwhile that it leaves or wants rest. */
        WITHDRAWN,
        /** The backend server promised not to run it. */
        NOT_RUN,
        /** The backend server answered with a failure. */
        FAILED,
        /** No sound answer came; it may have run. */
        BROKEN,
        /** Nothing came, and nothing over other connections to the backend server; it may have run. */
        SILENT,
        /** Its connection fell silent; it may have run, and its replica may be asked again over another connection. */
        UNHEARD
    }

    /** Whether no byte was sent, so that another replica may be asked without being a retry. */
    boolean unsent() {
        return kind == Kind.NOT_SENT || kind == Kind.WITHDRAWN;
    }

    static AttemptEnd whole() {
        return new AttemptEnd(Kind.WHOLE, "answered", Optional.empty());
    }

    static AttemptEnd notSent(String reason) {
        return new AttemptEnd(Kind.NOT_SENT, reason, Optional.empty());
    }

    static AttemptEnd withdrawn() {
        return new AttemptEnd(Kind.WITHDRAWN, "replica_takes_nothing", Optional.empty());
    }

    static AttemptEnd notRun(String reason) {
        return new AttemptEnd(Kind.NOT_RUN, reason, Optional.empty());
    }

    static AttemptEnd failed(BufferedAnswer answer) {
        return new AttemptEnd(Kind.FAILED, "status_" + answer.head().status(), Optional.of(answer));
    }

    static AttemptEnd unheard() {
        return new AttemptEnd(Kind.UNHEARD, "connection_silent", Optional.empty());
    }

    static AttemptEnd silent() {
        return new AttemptEnd(Kind.SILENT, "replica_silent", Optional.empty());
    }

    static AttemptEnd broken(String reason) {
        return new AttemptEnd(Kind.BROKEN, reason, Optional.empty());
    }
}
