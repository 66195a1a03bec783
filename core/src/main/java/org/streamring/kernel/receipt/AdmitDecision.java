package org.streamring.kernel.receipt;

import org.streamring.model.request.RefusalReason;

/** What a sidecar does with an order. */
public sealed interface AdmitDecision {
    /** Forward it; its receipt is written. */
    record Run() implements AdmitDecision {}

    /**
     * The same request is running or its answer is kept: deliver that; nothing is spent.
     *
     * @param originalAttempt the attempt that runs or ran
     */
    record Attach(String originalAttempt) implements AdmitDecision {}

    /** The request ran, but its answer is no longer kept. */
    record RanBefore() implements AdmitDecision {}

    /**
     * Not run, and the order will not be run by this incarnation.
     *
     * @param reason why
     */
    record Refuse(RefusalReason reason) implements AdmitDecision {}
}
