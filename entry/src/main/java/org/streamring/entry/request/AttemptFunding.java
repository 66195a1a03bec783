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
 * The tokens set aside for the attempts of one request, and the ledger they come from. At most one reservation is held
 * at a time. Guarded by its {@link RunningRequest}.
 */
final class AttemptFunding {
    private static final AtomicLong ATTEMPTS = new AtomicLong();

    private final LedgerHolder ledgers;
    private @Nullable LeaseLedger ledger;
    private @Nullable Reservation reservation;
    private Optional<String> lostAt = Optional.empty();

    AttemptFunding(LedgerHolder ledgers) {
        this.ledgers = ledgers;
    }

    /** Sets the worst case of the next attempt aside; what costs nothing needs no lease. */
    ReserveResult reserve(AdmittedRequest request, long nowMillis) {
        ledger = ledgers.current();
        lostAt = Optional.empty();
        String attempt = ledger.incarnation() + "#" + ATTEMPTS.incrementAndGet();
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
            throw new IllegalStateException("nothing is reserved");
        }
        return reservation;
    }

    /** Identifier of the attempt that is paid for; empty if none is. */
    String attempt() {
        return reservation == null ? "" : reservation.attempt();
    }

    /** Whether the ledger that pays names this sidecar, so that a closer would ask it for receipts. */
    boolean mayUse(String sidecarIncarnation) {
        return requireLedger().mayUse(sidecarIncarnation);
    }

    /**
     * Gives back what an attempt that did not run would have cost. If the same attempt was lost at a sidecar before,
     * that sidecar may have spent it, so it is left in doubt instead.
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

    /** Notes that the attempt was lost at a sidecar and is tried elsewhere under the same reservation. */
    void lostAt(String sidecarIncarnation) {
        lostAt = Optional.of(sidecarIncarnation);
    }

    /** Books what an attempt spent. */
    void book(AdmittedRequest request, End end, String sidecarIncarnation, long nowMillis) {
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

    /** Leaves what was set aside as it is until the sidecar has told what became of the attempt. */
    void leaveInDoubt(String sidecarIncarnation) {
        if (reservation != null) {
            requireLedger().markUncertain(reservation, sidecarIncarnation);
        }
    }

    /** A sidecar has told that the ledger's incarnation was closed. */
    void giveUpLedger() {
        requireLedger().giveUp();
    }

    private LeaseLedger requireLedger() {
        if (ledger == null) {
            throw new IllegalStateException("nothing is reserved yet");
        }
        return ledger;
    }
}
