package org.streamring.direct.ledger;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.prepaid.MarkRow;
import org.streamring.kernel.prepaid.PrepaidLedger;
import org.streamring.kernel.prepaid.PrepaidRow;

/**
 * Reclaims the tokens that a predecessor on this box cannot have used. If the predecessor ended before its silence
 * timeout, they are reclaimed at once, otherwise when all of its witnesses have reported its usage records. If a
 * witness is gone, the tokens that it could not have used by the start of this process are reclaimed. Confined to the
 * event loop.
 */
final class PredecessorLeases {
    /** Maximum drift between the clocks of the store and of this box within the silence timeout. */
    private static final long MAX_CLOCK_DRIFT_MILLIS = 200;
    /** A live witness is connected about a second after the start of this process, and answers at once. */
    private static final long WITNESS_REPORT_TIMEOUT_MILLIS = 3_000;

    private final PrepaidLedger ledger;
    private final Witnesses witnesses;
    private final LongSupplier clock;
    private final LongSupplier processAge;
    private final DecisionLog log;
    private final Map<String, Map<String, Long>> reports = new HashMap<>();
    private Optional<MarkRow> predecessorRow = Optional.empty();
    private long startStoreMillis = Long.MAX_VALUE;
    private long bootMillis;
    private long foundMillis;
    private boolean logged;
    private boolean lastWritesMayBeLost;

    /**
     * Creates an instance without a predecessor.
     *
     * @param clock milliseconds on a monotonic clock
     * @param processAge milliseconds since the JVM of this process began to start; called only if there is a
     *     predecessor, because the first call takes about 50 ms of CPU time
     */
    PredecessorLeases(
            PrepaidLedger ledger, Witnesses witnesses, LongSupplier clock, LongSupplier processAge, DecisionLog log) {
        this.ledger = ledger;
        this.witnesses = witnesses;
        this.clock = clock;
        this.processAge = processAge;
        this.log = log;
    }

    /** Adds an estimate of the store time at which the clock started. An estimate is never too early. */
    void startedBefore(long storeMillis) {
        startStoreMillis = Math.min(startStoreMillis, storeMillis);
    }

    /**
     * Sets the usage caps that the store holds for this box. Later writes of the predecessor replace earlier ones. Caps
     * of an older era are ignored, because the predecessor may have raised them by a write that the store has lost.
     *
     * @param era current era of the store
     */
    void usageCapsRead(Optional<MarkRow> usageCaps, long era) {
        Optional<MarkRow> ofPredecessor = usageCaps
                .filter(each -> !each.incarnation().equals(ledger.incarnation()))
                .filter(each -> each.era() == era);
        if (ofPredecessor.isEmpty() || lastWritesMayBeLost) {
            return;
        }
        if (predecessorRow.isEmpty()) {
            foundMillis = clock.getAsLong();
            bootMillis = Math.max(0, processAge.getAsLong() - clock.getAsLong());
        }
        predecessorRow = ofPredecessor;
    }

    /** Leaves the predecessor's leases counted as used, because its last writes may be lost. */
    void storeRestored() {
        lastWritesMayBeLost = true;
        predecessorRow = Optional.empty();
    }

    /**
     * Returns an upper bound of the store time at which the predecessor ended. On a small box the JVM takes a second or
     * more to start before the clock starts, and the predecessor had ended before that. Without subtracting this time,
     * 2 s or more without a confirmed write were counted for the usage caps of most of 30 entries that were all killed.
     */
    private long endStoreMillis() {
        return startStoreMillis - bootMillis;
    }

    /** Queries the witnesses that have not answered yet, if their reports are needed. */
    void askWitnesses() {
        predecessorRow
                .filter(usageCaps -> !endedBeforeSilenceTimeout(usageCaps))
                .ifPresent(usageCaps -> usageCaps.witnesses().stream()
                        .filter(witness -> !reports.containsKey(witness))
                        .forEach(witness -> witnesses.ask(witness, usageCaps.incarnation(), this::reported)));
    }

    private void reported(String witness, Map<String, Long> tokens) {
        if (reports.putIfAbsent(witness, tokens) == null) {
            log.line("predecessor_reported", "witness", witness, "accounts", tokens.size());
        }
    }

    /** Returns the row of an account without the predecessor's lease, or the same row if nothing can be reclaimed. */
    PrepaidRow removeFrom(String account, PrepaidRow row) {
        return predecessorRow
                .flatMap(usageCaps -> reclaimedRow(account, row, usageCaps))
                .orElse(row);
    }

    private Optional<PrepaidRow> reclaimedRow(String account, PrepaidRow row, MarkRow usageCaps) {
        if (endedBeforeSilenceTimeout(usageCaps)) {
            return ledger.reclaim(account, row, usageCaps, endStoreMillis() + MAX_CLOCK_DRIFT_MILLIS);
        }
        if (!usageCaps.witnesses().isEmpty() && reports.keySet().containsAll(usageCaps.witnesses())) {
            return PrepaidLedger.reclaimUnrecorded(account, row, usageCaps, highestRecorded(usageCaps));
        }
        if (noMoreReportsExpected(usageCaps)) {
            return ledger.reclaimUnreleased(account, row, usageCaps, endStoreMillis() + MAX_CLOCK_DRIFT_MILLIS);
        }
        return Optional.empty();
    }

    private boolean noMoreReportsExpected(MarkRow usageCaps) {
        boolean timedOut = clock.getAsLong() - foundMillis > WITNESS_REPORT_TIMEOUT_MILLIS;
        return timedOut
                || usageCaps.witnesses().stream()
                        .filter(witness -> !reports.containsKey(witness))
                        .anyMatch(witnesses::gone)
                || usageCaps.witnesses().isEmpty();
    }

    private Map<String, Long> highestRecorded(MarkRow usageCaps) {
        Map<String, Long> most = new HashMap<>();
        usageCaps.witnesses().stream()
                .map(witness -> reports.getOrDefault(witness, Map.of()))
                .forEach(records -> records.forEach((account, tokens) -> most.merge(account, tokens, Math::max)));
        return most;
    }

    private boolean endedBeforeSilenceTimeout(MarkRow usageCaps) {
        long silenceTimeout = ledger.settings().silenceTimeout().toMillis() - MAX_CLOCK_DRIFT_MILLIS;
        return usageCaps.stayedWithinCaps(endStoreMillis(), silenceTimeout);
    }

    /** Logs the leases that a committed write reclaimed. */
    void logReclaimed(ReclaimedLeases reclaimed) {
        if (reclaimed.accounts() > 0) {
            log.line(
                    "predecessor_settled",
                    "accounts_taken_back",
                    reclaimed.accounts(),
                    "tokens",
                    reclaimed.tokens(),
                    "unproved_tokens",
                    reclaimed.unproved());
        }
    }

    /** Logs the predecessor, if there is one, at the first call only. */
    void logOnce() {
        if (logged) {
            return;
        }
        logged = true;
        predecessorRow.ifPresent(usageCaps -> log.line(
                "predecessor_found",
                "incarnation",
                usageCaps.incarnation(),
                "confirmed",
                usageCaps.confirmedMillis(),
                "started",
                endStoreMillis(),
                "boot_ms",
                bootMillis,
                "held_marks",
                endedBeforeSilenceTimeout(usageCaps),
                "witnesses",
                usageCaps.witnesses().size()));
    }
}
