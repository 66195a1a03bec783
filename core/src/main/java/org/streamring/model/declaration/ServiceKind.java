package org.streamring.model.declaration;

/** What stands behind a service. */
public enum ServiceKind {
    /** A model engine that speaks the OpenAI-compatible protocol. */
    MODEL,
    /** An ordinary HTTP service. */
    PLAIN
}
