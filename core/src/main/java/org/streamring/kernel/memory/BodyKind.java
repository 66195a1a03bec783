package org.streamring.kernel.memory;

/** Kinds of bodies that an entry keeps in memory. */
public enum BodyKind {
    /** Body of a caller's request. */
    REQUEST,
    /** Body of a backend server's answer, or an event of a stream that has not arrived whole. */
    ANSWER
}
