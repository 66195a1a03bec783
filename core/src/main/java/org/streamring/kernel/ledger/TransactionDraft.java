package org.streamring.kernel.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.streamring.kernel.ledger.LedgerPlan.SettledLease;
import org.streamring.kernel.ledger.PlannedTransaction.Taken;
import org.streamring.kernel.table.RowKeys;
import org.streamring.kernel.table.RowOperation;
import org.streamring.kernel.table.RowOperation.Add;
import org.streamring.kernel.table.RowOperation.Delete;
import org.streamring.kernel.table.RowOperation.Insert;
import org.streamring.kernel.table.RowOperation.Update;
import org.streamring.kernel.table.RowText;
import org.streamring.kernel.table.Transaction;

/** Builder of one ledger transaction. Amounts added to the same row are merged. */
final class TransactionDraft {
    /** Operations reserved for the largest single step: settling a lease with its sums, or taking one. */
    private static final int MAX_STEP_OPERATIONS = 12;

    private final String incarnation;
    private final long sequence;
    private final List<RowOperation> operations = new ArrayList<>();
    private final Map<String, Long> additions = new LinkedHashMap<>();
    private final Map<String, String> remainingRows = new HashMap<>();
    private final List<Lease> settled = new ArrayList<>();
    private final List<Lease> shrunk = new ArrayList<>();
    private final List<Taken> taken = new ArrayList<>();
    private final List<BillItem> items = new ArrayList<>();
    private final List<SettledLease> settledSummaries = new ArrayList<>();

    TransactionDraft(String incarnation, long sequence) {
        this.incarnation = incarnation;
        this.sequence = sequence;
    }

    String id() {
        return incarnation + "#" + sequence;
    }

    boolean hasRoom() {
        return operations.size() + additions.size() <= Transaction.MAX_OPERATIONS - MAX_STEP_OPERATIONS;
    }

    /** Returns whether settling this lease, including the rows of its held tokens, fits into the transaction. */
    boolean fits(Lease lease) {
        int needed = attemptsByPeer(lease).size() + MAX_STEP_OPERATIONS;
        return operations.size() + additions.size() + needed <= Transaction.MAX_OPERATIONS;
    }

    boolean containsOnlyEntryRow() {
        return operations.size() == 1 && additions.isEmpty();
    }

    void entryRow(long currentVersion, EntryRecord record) {
        String key = RowKeys.entry(incarnation);
        String text = RowText.write(record);
        operations.add(
                currentVersion == 0
                        ? new Insert(key, sequence, text)
                        : new Update(key, currentVersion, sequence, text));
    }

    void peersRow(long currentVersion, PeersRecord record) {
        String key = RowKeys.peers(incarnation);
        String text = RowText.write(record);
        operations.add(currentVersion == 0 ? new Insert(key, 0, text) : new Update(key, currentVersion, 0, text));
    }

    /** Settles a lease and returns the tokens that are returned to the budget. */
    long settle(String budget, Lease lease) {
        lease.freeze(true);
        operations.add(new Delete(RowKeys.lease(lease.id()), lease.rowVersion()));
        add(RowKeys.settled(budget), lease.spent());
        attemptsByPeer(lease).forEach((peer, attempts) -> addHeldRow(budget, lease, peer, attempts));
        settled.add(lease);
        settledSummaries.add(new SettledLease(lease.id(), !lease.uncertain().isEmpty()));
        items.addAll(lease.items());
        return lease.free();
    }

    private static Map<String, List<String>> attemptsByPeer(Lease lease) {
        Map<String, List<String>> byPeer = new TreeMap<>();
        lease.uncertain().forEach((attempt, peer) -> byPeer.computeIfAbsent(peer, key -> new ArrayList<>())
                .add(attempt));
        return byPeer;
    }

    private void addHeldRow(String budget, Lease lease, String peer, List<String> attempts) {
        long tokens = attempts.stream().mapToLong(lease::reservedFor).sum();
        HeldRecord record = new HeldRecord(budget, lease.id(), attempts, List.of(peer));
        operations.add(new Insert(RowKeys.heldRemainder(lease.id(), peer), tokens, RowText.write(record)));
        add(RowKeys.held(budget), tokens);
    }

    /** Reduces a draining lease to its committed tokens and returns the tokens that are returned to the budget. */
    long shrink(Lease lease) {
        lease.freeze(true);
        long returned = lease.free();
        LeaseRecord record = new LeaseRecord(lease.budget());
        operations.add(
                new Update(RowKeys.lease(lease.id()), lease.rowVersion(), lease.committed(), RowText.write(record)));
        shrunk.add(lease);
        return returned;
    }

    void take(String budget, String leaseId, long tokens) {
        operations.add(new Insert(RowKeys.lease(leaseId), tokens, RowText.write(new LeaseRecord(budget))));
        taken.add(new Taken(budget, leaseId));
    }

    void addToRemaining(String budget, long delta) {
        add(RowKeys.remaining(budget), delta);
        remainingRows.put(RowKeys.remaining(budget), budget);
    }

    private void add(String key, long delta) {
        if (delta != 0) {
            additions.merge(key, delta, Long::sum);
        }
    }

    PlannedTransaction finish() {
        additions.forEach((key, delta) -> operations.add(new Add(key, delta, 0)));
        LedgerPlan plan = new LedgerPlan(sequence, new Transaction(id(), operations), items, settledSummaries);
        return new PlannedTransaction(plan, settled, shrunk, taken, remainingRows);
    }
}
