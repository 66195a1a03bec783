package org.streamring.direct.backend;

/** How an attempt ended without a whole answer. */
public enum AttemptFailure {
    /** No byte of the request was sent. */
    NOT_SENT,
    /** The request may have run. */
    BROKEN
}
