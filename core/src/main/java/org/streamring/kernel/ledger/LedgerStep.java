package org.streamring.kernel.ledger;

import java.util.List;

/** What to do after the table answered. */
public sealed interface LedgerStep {
    /** The plan took effect; its settled leases may be acknowledged to sidecars. */
    record Done(LedgerPlan plan) implements LedgerStep {}

    /** An earlier try of the plan took effect; read these rows and hand them over. */
    record ReadBack(List<String> keys) implements LedgerStep {
        /** Copies the list. */
        public ReadBack {
            keys = List.copyOf(keys);
        }
    }

    /** The plan did not and will not take effect; plan again. */
    record PlanAgain() implements LedgerStep {}

    /** Another entry has closed this incarnation. */
    record FencedOff() implements LedgerStep {}
}
