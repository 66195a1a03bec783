package org.streamring.kernel.recovery;

import org.streamring.kernel.ledger.LedgerDriver;
import org.streamring.kernel.ledger.Reservation;
import org.streamring.kernel.receipt.AttemptOrder;

/** Attempt in transit from an entry to a sidecar, or running at the sidecar. */
final class FaultedAttempt {
    final LedgerDriver entry;
    final Reservation reservation;
    final String sidecar;
    boolean running;
    boolean done;

    FaultedAttempt(LedgerDriver entry, Reservation reservation, String sidecar) {
        this.entry = entry;
        this.reservation = reservation;
        this.sidecar = sidecar;
    }

    String name() {
        return reservation.attempt();
    }

    boolean inTransit() {
        return !running && !done;
    }

    boolean inProgress() {
        return running && !done;
    }

    /** Returns the order that the entry sends to the sidecar, paid by a budget. */
    AttemptOrder order(String budget) {
        return TestOrders.of(reservation, entry.ledger.incarnation(), budget);
    }

    /** Marks the attempt as uncertain in the ledger of its entry. */
    void markUncertain() {
        entry.ledger.markUncertain(reservation, sidecar);
    }
}
