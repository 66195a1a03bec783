package org.streamring.model.declaration;

/** Kind of a service. */
public enum ServiceKind {
    /** Model engine with the OpenAI-compatible protocol. */
    MODEL,
    /** Ordinary HTTP service. */
    PLAIN
}
