package org.streamring.kernel.ledger;

import java.time.Duration;

/** Result of an attempt to reserve tokens. */
public sealed interface ReserveResult {
    /**
     * The tokens are reserved.
     *
     * @param reservation the reservation
     */
    record Reserved(Reservation reservation) implements ReserveResult {}

    /** No lease has enough free tokens; one is taken with the next transaction. */
    record NeedsLease() implements ReserveResult {}

    /**
     * The budget is known to have too few remaining tokens.
     *
     * @param retryAfter time until the remaining tokens are checked again
     */
    record UsedUp(Duration retryAfter) implements ReserveResult {}

    /** The leases of this incarnation are closed; a new incarnation must be used. */
    record Fenced() implements ReserveResult {}
}
