package org.streamring.direct.backend;

/** Reasons why an attempt ended without a complete answer. */
public enum AttemptFailure {
    /** No byte of the request was sent. */
    NOT_SENT,
    /** No byte of the request was sent, because it was no longer allowed to be sent once the connection was open. */
    WITHDRAWN,
    /**
     * The backend server closed the connection normally before the answer was complete. It may have run the request,
     * and everything that it sent was received.
     */
    CLOSED,
    /** The head or the body of the answer can't be decoded. */
    UNREADABLE,
    /** The answer holds parts of two answers. */
    MERGED,
    /** The answer does not carry the identifier of the request. */
    UNIDENTIFIED,
    /** More bytes arrived than belong to an answer. */
    ENDLESS,
    /**
     * The process of the backend server exited, which ended the connection. The answer has neither a length nor chunks,
     * so it may be a part.
     */
    EXITED,
    /** The attempt failed after the request was sent, so the backend server may have run the request. */
    BROKEN
}
