package org.streamring.kernel.recovery;

import org.streamring.kernel.ledger.Reservation;
import org.streamring.kernel.receipt.AttemptOrder;

/** Creates orders to sidecars for the recovery tests. */
final class TestOrders {
    private TestOrders() {}

    /** Returns an order for a repeatable attempt of a separate request. */
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
