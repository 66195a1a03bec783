package org.streamring.direct.backend;

/** How an attempt ended without a whole answer. */
public enum AttemptFailure {
    /** No byte of the request was sent. */
    NOT_SENT,
    /** No byte was sent, as the backend server said meanwhile that it takes nothing. */
    WITHDRAWN,
    /** The request may have run. */
    BROKEN
}
