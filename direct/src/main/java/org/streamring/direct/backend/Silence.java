package org.streamring.direct.backend;

/** What the silence of an attempt's connection means. */
public enum Silence {
    /** Nothing out of the ordinary. */
    NONE,
    /** The connection is silent; its backend server may be sound. */
    CONNECTION,
    /** The backend server answers nothing, also over a connection that was made for its request. */
    BACKEND
}
