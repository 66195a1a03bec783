package org.streamring.kernel.recovery;

import org.streamring.kernel.ledger.Reservation;
import org.streamring.kernel.receipt.AttemptOrder;

/** Orders to sidecars, as far as recovery looks at them. */
final class TestOrders {
    private TestOrders() {}

    /** A repeatable attempt of its own request. */
    static AttemptOrder of(Reservation reservation, String incarnation, String budget) {
        return new AttemptOrder(
                reservation.attempt(),
                incarnation,
                "account/" + reservation.attempt(),
                "hash",
                "account",
                budget,
                reservation.leaseId(),
                "service",
                reservation.tokens(),
                true,
                false,
                0);
    }
}
