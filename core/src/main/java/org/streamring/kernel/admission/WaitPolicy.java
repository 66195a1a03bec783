package org.streamring.kernel.admission;

/** Decides whether a request for which no place is free waits, and when a caller who is turned away comes back. */
public interface WaitPolicy {
    /** Decides now; asked again while the request waits. */
    WaitDecision decide(WaitQuery query);
}
