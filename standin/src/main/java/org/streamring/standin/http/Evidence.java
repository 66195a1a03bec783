package org.streamring.standin.http;

/** What shows a reader that an answer is not whole. */
public enum Evidence {
    /** The rules of HTTP, or the identifier. */
    HTTP,
    /** An event that breaks off. */
    EVENT,
    /** A status line within the body. */
    BODY,
    /** A status line within the trailers, behind the whole body. */
    TRAILER,
    /** The end of the server's process. */
    PROCESS,
    /** Nothing: the bytes are those of a whole answer. */
    NONE
}
