package org.streamring.kernel.recovery;

import org.streamring.kernel.ledger.LedgerDriver;
import org.streamring.kernel.ledger.Reservation;
import org.streamring.kernel.receipt.AttemptOrder;

/** An attempt on its way from an entry to a sidecar, or running there. */
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

    boolean onItsWay() {
        return !running && !done;
    }

    boolean inProgress() {
        return running && !done;
    }

    /** What the entry tells the sidecar to run, on account of a budget. */
    AttemptOrder order(String budget) {
        return TestOrders.of(reservation, entry.ledger.incarnation(), budget);
    }

    /** Its entry no longer knows what becomes of it. */
    void lose() {
        entry.ledger.markUncertain(reservation, sidecar);
    }
}
