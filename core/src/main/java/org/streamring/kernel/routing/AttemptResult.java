package org.streamring.kernel.routing;

/** What an attempt that ended says about its replica. */
public enum AttemptResult {
    /** It was answered. */
    SERVED,
    /** It broke off, got a server error, or could not be forwarded. */
    FAILED,
    /** Nothing: it was cancelled from outside or refused for lack of room. */
    INCONCLUSIVE
}
