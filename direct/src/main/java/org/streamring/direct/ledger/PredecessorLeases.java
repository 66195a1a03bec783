package org.streamring.direct.ledger;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.prepaid.MarkRow;
import org.streamring.kernel.prepaid.PrepaidBook;
import org.streamring.kernel.prepaid.PrepaidRow;

/**
 * Takes back what a predecessor on this box can't have used: at once if it ended before it ran out of patience, else
 * when all of its witnesses have told what it noted. Where one of them is gone, what it could not have used by the
 * time of this process's start is taken back. Confined to the event loop.
 */
final class PredecessorLeases {
    /** Clocks of the store and of this box may run apart this far within a process's patience. */
    private static final long CLOCK_MARGIN_MILLIS = 200;
    /** A witness that lives is connected about a second after this process started, and answers at once. */
    private static final long WITNESSES_AWAITED_MILLIS = 3_000;

    private final PrepaidBook book;
    private final Witnesses witnesses;
    private final LongSupplier clock;
    private final LongSupplier processAge;
    private final DecisionLog log;
    private final Map<String, Map<String, Long>> reports = new HashMap<>();
    private Optional<MarkRow> found = Optional.empty();
    private long startStoreMillis = Long.MAX_VALUE;
    private long bootMillis;
    private long foundMillis;
    private boolean logged;

    /**
     * Creates one that has found nothing.
     *
     * @param clock milliseconds on a steady clock
     * @param processAge milliseconds since the runtime of this process began to start; asked only where a predecessor
     *     is found, as the first answer takes some 50 ms of a core
     */
    PredecessorLeases(
            PrepaidBook book, Witnesses witnesses, LongSupplier clock, LongSupplier processAge, DecisionLog log) {
        this.book = book;
        this.witnesses = witnesses;
        this.clock = clock;
        this.processAge = processAge;
        this.log = log;
    }

    /** Takes an estimate of the time of the store at which the clock began; never too early. */
    void startedBefore(long storeMillis) {
        startStoreMillis = Math.min(startStoreMillis, storeMillis);
    }

    /** Takes this box's marks as they stand in the store; later writes of the predecessor replace earlier ones. */
    void marksRead(Optional<MarkRow> marks) {
        Optional<MarkRow> left = marks.filter(each -> !each.incarnation().equals(book.incarnation()));
        if (left.isEmpty()) {
            return;
        }
        if (found.isEmpty()) {
            foundMillis = clock.getAsLong();
            bootMillis = Math.max(0, processAge.getAsLong() - clock.getAsLong());
        }
        found = left;
    }

    /**
     * Time of the store by which the predecessor had ended, or later. The runtime starts for a second and more on a
     * small box before the clock begins, and the predecessor was gone by then. Without this the marks of most of 30
     * entries that were all killed counted 2 s of silence and more.
     */
    private long endStoreMillis() {
        return startStoreMillis - bootMillis;
    }

    /** Asks the witnesses that have not answered yet, if there are any to be asked. */
    void askWitnesses() {
        found.filter(marks -> !heldMarks(marks)).ifPresent(marks -> marks.witnesses().stream()
                .filter(witness -> !reports.containsKey(witness))
                .forEach(witness -> witnesses.ask(witness, marks.incarnation(), this::reported)));
    }

    private void reported(String witness, Map<String, Long> tokens) {
        if (reports.putIfAbsent(witness, tokens) == null) {
            log.line("predecessor_reported", "witness", witness, "accounts", tokens.size());
        }
    }

    /** An account's row without what the predecessor left; the same row if there is nothing to take back. */
    PrepaidRow without(String account, PrepaidRow row) {
        return found.flatMap(marks -> takenBack(account, row, marks)).orElse(row);
    }

    private Optional<PrepaidRow> takenBack(String account, PrepaidRow row, MarkRow marks) {
        if (heldMarks(marks)) {
            return book.reclaim(account, row, marks, endStoreMillis() + CLOCK_MARGIN_MILLIS);
        }
        if (!marks.witnesses().isEmpty() && reports.keySet().containsAll(marks.witnesses())) {
            return PrepaidBook.reclaimNoted(account, row, marks, mostNoted(marks));
        }
        if (nothingMoreToHear(marks)) {
            return book.reclaimReleased(account, row, marks, endStoreMillis() + CLOCK_MARGIN_MILLIS);
        }
        return Optional.empty();
    }

    private boolean nothingMoreToHear(MarkRow marks) {
        boolean waitedLong = clock.getAsLong() - foundMillis > WITNESSES_AWAITED_MILLIS;
        return waitedLong
                || marks.witnesses().stream()
                        .filter(witness -> !reports.containsKey(witness))
                        .anyMatch(witnesses::gone)
                || marks.witnesses().isEmpty();
    }

    private Map<String, Long> mostNoted(MarkRow marks) {
        Map<String, Long> most = new HashMap<>();
        marks.witnesses().stream()
                .map(witness -> reports.getOrDefault(witness, Map.of()))
                .forEach(notes -> notes.forEach((account, tokens) -> most.merge(account, tokens, Math::max)));
        return most;
    }

    private boolean heldMarks(MarkRow marks) {
        long patience = book.settings().patience().toMillis() - CLOCK_MARGIN_MILLIS;
        return marks.heldBy(endStoreMillis(), patience);
    }

    /** Logs that accounts were written without what the predecessor left. */
    void tookBack(TakenBack taken) {
        if (taken.accounts() > 0) {
            log.line(
                    "predecessor_settled",
                    "accounts_taken_back",
                    taken.accounts(),
                    "tokens",
                    taken.tokens(),
                    "unproved_tokens",
                    taken.unproved());
        }
    }

    /** Logs once what was found. */
    void logOnce() {
        if (logged) {
            return;
        }
        logged = true;
        found.ifPresent(marks -> log.line(
                "predecessor_found",
                "incarnation",
                marks.incarnation(),
                "confirmed",
                marks.confirmedMillis(),
                "started",
                endStoreMillis(),
                "boot_ms",
                bootMillis,
                "held_marks",
                heldMarks(marks),
                "witnesses",
                marks.witnesses().size()));
    }
}
