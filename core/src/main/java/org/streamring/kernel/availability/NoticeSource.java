package org.streamring.kernel.availability;

/** Source of the information that a backend server is shutting down. */
public enum NoticeSource {
    /** A row of the server in the list of backend servers, possibly an earlier version of that row. */
    ROW,
    /** An answer of the server. */
    ANSWER
}
