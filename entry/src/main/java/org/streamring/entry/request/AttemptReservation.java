package org.streamring.entry.request;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.streamring.entry.ledger.LedgerHolder;
import org.streamring.kernel.ledger.LeaseLedger;
import org.streamring.kernel.ledger.Reservation;
import org.streamring.kernel.ledger.ReserveResult;
import org.streamring.net.generated.Wire.End;

/**
 * Tokens reserved for the attempts of one request, and the ledger that they are reserved in. At most one reservation is
 * held at a time. Guarded by the lock of its {@link RunningRequest}.
 */
final class AttemptReservation {
    private static final AtomicLong ATTEMPT_COUNTER = new AtomicLong();

    private final LedgerHolder ledgers;
    private @Nullable LeaseLedger ledger;
    private @Nullable Reservation reservation;
    private Optional<String> lostAt = Optional.empty();

    AttemptReservation(LedgerHolder ledgers) {
        this.ledgers = ledgers;
    }

    /** Reserves the most tokens that the next attempt may spend. A request that costs nothing needs no lease. */
    ReserveResult reserve(AdmittedRequest request, long nowMillis) {
        ledger = ledgers.current();
        lostAt = Optional.empty();
        String attempt = ledger.incarnation() + "#" + ATTEMPT_COUNTER.incrementAndGet();
        if (request.worstCase() == 0) {
            reservation = new Reservation(attempt, request.budget(), ledger.incarnation() + "/0", 0);
            return new ReserveResult.Reserved(reservation);
        }
        ReserveResult result = ledger.reserve(attempt, request.budget(), request.worstCase(), nowMillis);
        if (result instanceof ReserveResult.Reserved reserved) {
            reservation = reserved.reservation();
        }
        return result;
    }

    boolean isHeld() {
        return reservation != null;
    }

    Reservation reservation() {
        if (reservation == null) {
            throw new IllegalStateException("no tokens are reserved");
        }
        return reservation;
    }

    /** Returns the identifier of the attempt that the reservation is held for; empty if nothing is reserved. */
    String attempt() {
        return reservation == null ? "" : reservation.attempt();
    }

    /**
     * Returns whether the ledger lists this sidecar among its peers, so that an entry that closes its leases queries
     * this sidecar for receipts.
     */
    boolean mayUse(String sidecarIncarnation) {
        return requireLedger().mayUse(sidecarIncarnation);
    }

    /**
     * Releases the tokens of an attempt that did not run. If the same attempt was lost at a sidecar before, that
     * sidecar may have spent the tokens, so the reservation is marked as uncertain instead.
     */
    void release() {
        if (reservation == null) {
            return;
        }
        if (lostAt.isPresent()) {
            requireLedger().markUncertain(reservation, lostAt.get());
        } else {
            requireLedger().release(reservation);
        }
        reservation = null;
    }

    /** Records that the attempt was lost at a sidecar and is retried elsewhere under the same reservation. */
    void recordLostAt(String sidecarIncarnation) {
        lostAt = Optional.of(sidecarIncarnation);
    }

    /** Records the usage of an attempt that ended: bills it, or releases the tokens if nothing is billed. */
    void recordUsage(AdmittedRequest request, End end, String sidecarIncarnation, long nowMillis) {
        if (reservation == null) {
            return;
        }
        if (end.getBilled()) {
            requireLedger()
                    .finish(
                            reservation,
                            AttemptMessages.billItem(request, reservation, sidecarIncarnation, end, nowMillis),
                            nowMillis);
            reservation = null;
        } else {
            release();
        }
    }

    /** Keeps the reservation until the sidecar has reported the result of the attempt. */
    void markReservationUncertain(String sidecarIncarnation) {
        if (reservation != null) {
            requireLedger().markUncertain(reservation, sidecarIncarnation);
        }
    }

    /** Gives up the ledger, after a sidecar has reported that the ledger's incarnation was closed. */
    void abandonLedger() {
        requireLedger().giveUp();
    }

    private LeaseLedger requireLedger() {
        if (ledger == null) {
            throw new IllegalStateException("no reservation was made yet");
        }
        return ledger;
    }
}
