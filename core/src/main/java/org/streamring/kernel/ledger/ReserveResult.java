package org.streamring.kernel.ledger;

import java.time.Duration;

/** What a try to reserve came to. */
public sealed interface ReserveResult {
    /**
     * The tokens are set aside.
     *
     * @param reservation what was set aside
     */
    record Reserved(Reservation reservation) implements ReserveResult {}

    /** No lease covers it yet; one is taken with the next transaction. */
    record NeedsLease() implements ReserveResult {}

    /**
     * The budget is known not to cover it.
     *
     * @param retryAfter when the budget is looked at again
     */
    record UsedUp(Duration retryAfter) implements ReserveResult {}

    /** This incarnation's leases are closed; a new incarnation must be used. */
    record Fenced() implements ReserveResult {}
}
