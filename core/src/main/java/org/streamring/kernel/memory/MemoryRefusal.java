package org.streamring.kernel.memory;

/** Reasons why a body gets no memory, or has to give it back. */
public enum MemoryRefusal {
    /** The body is larger than any that may be kept. */
    TOO_LARGE,
    /** Too many bytes wait already. */
    QUEUE_FULL,
    /** The body has waited for too long. */
    WAITED_TOO_LONG,
    /** The body arrives too slowly while others wait for its memory. */
    ARRIVES_TOO_SLOWLY
}
