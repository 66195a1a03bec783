package org.streamring.kernel.once;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.streamring.kernel.table.Row;
import org.streamring.kernel.table.RowOperation;
import org.streamring.kernel.table.RowText;
import org.streamring.kernel.table.Transaction;
import org.streamring.kernel.table.TransactionResult;
import org.streamring.kernel.table.TransactionResult.Committed;
import org.streamring.kernel.table.TransactionResult.Failure;
import org.streamring.kernel.table.TransactionResult.Rejected;

/**
 * Batch of claims that are committed in one transaction. If the request of a claim is already bound, that claim gets
 * its result and the others are retried without it, so that one claim does not cause the others to fail.
 */
public final class ClaimBatch {
    private final Map<String, Claim> pending = new LinkedHashMap<>();
    private final Map<String, ClaimResult> results = new LinkedHashMap<>();
    private final String id;
    private int round;

    /**
     * Creates a batch.
     *
     * @param id unique identifier of the batch
     * @param claims claims on different requests
     */
    public ClaimBatch(String id, List<Claim> claims) {
        this.id = id;
        claims.forEach(claim -> pending.put(claim.rowKey(), claim));
    }

    /** Returns the transaction to apply next; empty when every claim has its result. */
    public Optional<Transaction> next() {
        if (pending.isEmpty()) {
            return Optional.empty();
        }
        List<RowOperation> operations = new ArrayList<>();
        pending.values().forEach(claim -> operations.add(operation(claim)));
        return Optional.of(new Transaction(id + "." + round, operations));
    }

    private static RowOperation operation(Claim claim) {
        String text = RowText.write(claim.record());
        if (claim.expectedVersion() == 0) {
            return new RowOperation.Insert(claim.rowKey(), claim.nowMillis(), text);
        }
        return new RowOperation.Update(claim.rowKey(), claim.expectedVersion(), claim.nowMillis(), text);
    }

    /** Evaluates the result of the transaction returned by {@link #next}. */
    public void resolve(TransactionResult result) {
        round++;
        if (result instanceof Committed committed) {
            committed.rows().forEach(row -> grant(row.key(), row));
            return;
        }
        for (Failure failure : ((Rejected) result).failures()) {
            resolveFailure(failure);
        }
    }

    private void grant(String key, Row row) {
        if (pending.remove(key) != null) {
            results.put(key, new ClaimResult.Granted(row));
        }
    }

    private void resolveFailure(Failure failure) {
        Claim claim = pending.remove(failure.key());
        if (claim == null) {
            return;
        }
        results.put(
                claim.rowKey(),
                failure.current().map(row -> resultForExistingRow(claim, row)).orElse(new ClaimResult.Conflict()));
    }

    /**
     * Returns the result for a claim whose row exists. A row with the nonce of the claim was written by an earlier
     * transaction whose answer was lost.
     */
    private static ClaimResult resultForExistingRow(Claim claim, Row row) {
        ClaimRecord record = RowText.read(row.text(), ClaimRecord.class);
        return record.nonce().equals(claim.record().nonce())
                ? new ClaimResult.Granted(row)
                : new ClaimResult.Bound(row, record);
    }

    /** Returns the result of a claim; empty if it has none yet. */
    public Optional<ClaimResult> result(Claim claim) {
        return Optional.ofNullable(results.get(claim.rowKey()));
    }
}
