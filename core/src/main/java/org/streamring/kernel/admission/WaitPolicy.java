package org.streamring.kernel.admission;

/**
 * Decides whether a request waits if no slot is free, and after which time the caller of a refused request may retry.
 */
public interface WaitPolicy {
    /** Returns the decision for the current state of a request; called repeatedly while the request waits. */
    WaitDecision decide(WaitQuery query);
}
