package org.streamring.kernel.ledger;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.LongPredicate;
import org.streamring.kernel.table.FaultyTable;
import org.streamring.kernel.table.PlatformException;

/** Runs a ledger against a table like the entry process does, but one step at a time. */
public final class LedgerDriver {
    public final LeaseLedger ledger;
    public final FaultyTable table;
    /** Written bill batches by sequence; a batch that is written again replaces the previous one. */
    public final Map<Long, List<BillItem>> batches = new TreeMap<>();

    private int attempts;

    public LedgerDriver(String incarnation, Bank bank, LedgerSettings settings) {
        this.table = new FaultyTable(bank.table);
        this.ledger = new LeaseLedger(incarnation, "127.0.0.1:0", settings);
    }

    /** Creates and applies one plan. Returns its result; empty if nothing was planned or no answer was received. */
    public Optional<LedgerStep> step(long nowMillis) {
        Optional<LedgerPlan> plan = ledger.plan(nowMillis);
        if (plan.isEmpty()) {
            return Optional.empty();
        }
        // As in the entry process, bills are written before the transaction that settles them.
        batches.put(plan.get().sequence(), plan.get().billItems());
        try {
            LedgerStep step = ledger.resolve(table.transact(plan.get().transaction()), nowMillis);
            if (step instanceof LedgerStep.ReadBack readBack) {
                step = ledger.resolveReadBack(table.read(readBack.keys()), nowMillis);
            }
            return Optional.of(step);
        } catch (PlatformException e) {
            ledger.noAnswer();
            return Optional.empty();
        }
    }

    /** Returns the items of the batches whose sequence matches. */
    public List<BillItem> items(LongPredicate sequences) {
        return batches.entrySet().stream()
                .filter(batch -> sequences.test(batch.getKey()))
                .flatMap(batch -> batch.getValue().stream())
                .toList();
    }

    /** Runs 20 steps, enough to write everything that is outstanding. */
    public void settleDown(long nowMillis) {
        for (int i = 0; i < 20; i++) {
            step(nowMillis);
        }
    }

    public ReserveResult tryReserve(String budget, long tokens, long nowMillis) {
        return ledger.reserve(ledger.incarnation() + "#" + ++attempts, budget, tokens, nowMillis);
    }

    /** Reserves tokens, taking a lease if necessary; empty if refused. */
    public Optional<Reservation> reserve(String budget, long tokens, long nowMillis) {
        for (int i = 0; i < 4; i++) {
            if (tryReserve(budget, tokens, nowMillis) instanceof ReserveResult.Reserved reserved) {
                return Optional.of(reserved.reservation());
            }
            step(nowMillis);
        }
        return Optional.empty();
    }

    public BillItem finish(Reservation reservation, long tokens, long nowMillis) {
        BillItem item = item(reservation, tokens);
        ledger.finish(reservation, item, nowMillis);
        return item;
    }

    public static BillItem item(Reservation reservation, long tokens) {
        return new BillItem(
                reservation.attempt(),
                "account/" + reservation.attempt(),
                "account",
                reservation.budget(),
                reservation.leaseId(),
                "service",
                "sidecar~1",
                0,
                tokens,
                tokens,
                0);
    }
}
