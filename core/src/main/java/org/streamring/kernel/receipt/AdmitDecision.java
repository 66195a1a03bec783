package org.streamring.kernel.receipt;

import org.streamring.model.request.RefusalReason;

/** Decision of a sidecar on an order. */
public sealed interface AdmitDecision {
    /** The order is forwarded. Its receipt is already written. */
    record Run() implements AdmitDecision {}

    /**
     * The same request is running, or its answer is kept. That answer is delivered, and no tokens are spent.
     *
     * @param originalAttempt identifier of the attempt that is running or has ended
     */
    record Attach(String originalAttempt) implements AdmitDecision {}

    /** The request has already run, but its answer is no longer kept. */
    record RanBefore() implements AdmitDecision {}

    /**
     * The order is not run, and this incarnation of the sidecar will not run it later.
     *
     * @param reason reason for the refusal
     */
    record Refuse(RefusalReason reason) implements AdmitDecision {}
}
