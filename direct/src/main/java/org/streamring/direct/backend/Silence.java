package org.streamring.direct.backend;

/** Result of checking whether the connection of an attempt, or its backend server, is unresponsive. */
public enum Silence {
    /** Neither the connection nor the backend server is considered unresponsive. */
    NONE,
    /** The connection is unresponsive; its backend server may be healthy. */
    CONNECTION,
    /** The backend server is unresponsive, even on a connection that was newly opened for a request. */
    BACKEND
}
