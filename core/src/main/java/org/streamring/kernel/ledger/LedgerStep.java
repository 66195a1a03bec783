package org.streamring.kernel.ledger;

import java.util.List;

/** Next step after the table answered a plan. */
public sealed interface LedgerStep {
    /** The plan took effect; its settled leases may be acknowledged to the sidecars. */
    record Done(LedgerPlan plan) implements LedgerStep {}

    /**
     * An earlier attempt of the plan took effect; the caller must read these rows and pass them to {@link
     * LeaseLedger#resolveReadBack}.
     */
    record ReadBack(List<String> keys) implements LedgerStep {
        /** Copies the list. */
        public ReadBack {
            keys = List.copyOf(keys);
        }
    }

    /** The plan did not take effect and never will; a new plan is needed. */
    record PlanAgain() implements LedgerStep {}

    /** Another entry has closed this incarnation. */
    record FencedOff() implements LedgerStep {}
}
