package org.streamring.kernel.routing;

/** Result of an ended attempt, used to decide whether its replica is ejected. */
public enum AttemptResult {
    /** The attempt was answered. */
    SERVED,
    /** The attempt broke off, got a server error, or could not be forwarded. */
    FAILED,
    /**
     * The attempt was cancelled from outside or refused for lack of capacity; the replica's failure count does not
     * change.
     */
    INCONCLUSIVE
}
