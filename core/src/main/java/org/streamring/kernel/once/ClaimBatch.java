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
 * Claims committed by one transaction. If one of them is bound already, that one is answered and the others are tried
 * again without it, so that claims do not fail each other.
 */
public final class ClaimBatch {
    private final Map<String, Claim> open = new LinkedHashMap<>();
    private final Map<String, ClaimResult> results = new LinkedHashMap<>();
    private final String id;
    private int round;

    /**
     * Starts a batch.
     *
     * @param id unique identifier
     * @param claims claims on different requests
     */
    public ClaimBatch(String id, List<Claim> claims) {
        this.id = id;
        claims.forEach(claim -> open.put(claim.rowKey(), claim));
    }

    /** The transaction to apply next; empty when every claim has its result. */
    public Optional<Transaction> next() {
        if (open.isEmpty()) {
            return Optional.empty();
        }
        List<RowOperation> operations = new ArrayList<>();
        open.values().forEach(claim -> operations.add(operation(claim)));
        return Optional.of(new Transaction(id + "." + round, operations));
    }

    private static RowOperation operation(Claim claim) {
        String text = RowText.write(claim.record());
        if (claim.expectedVersion() == 0) {
            return new RowOperation.Insert(claim.rowKey(), claim.nowMillis(), text);
        }
        return new RowOperation.Update(claim.rowKey(), claim.expectedVersion(), claim.nowMillis(), text);
    }

    /** Takes in the answer to the transaction of {@link #next}. */
    public void resolve(TransactionResult result) {
        round++;
        if (result instanceof Committed committed) {
            committed.rows().forEach(row -> grant(row.key(), row));
            return;
        }
        for (Failure failure : ((Rejected) result).failures()) {
            settle(failure);
        }
    }

    private void grant(String key, Row row) {
        if (open.remove(key) != null) {
            results.put(key, new ClaimResult.Granted(row));
        }
    }

    private void settle(Failure failure) {
        Claim claim = open.remove(failure.key());
        if (claim == null) {
            return;
        }
        results.put(
                claim.rowKey(), failure.current().map(row -> bound(claim, row)).orElse(new ClaimResult.Conflict()));
    }

    /** A row that carries the claim's own nonce was written by an earlier try whose answer was lost. */
    private static ClaimResult bound(Claim claim, Row row) {
        ClaimRecord record = RowText.read(row.text(), ClaimRecord.class);
        return record.nonce().equals(claim.record().nonce())
                ? new ClaimResult.Granted(row)
                : new ClaimResult.Bound(row, record);
    }

    /** The result of a claim, once there is one. */
    public Optional<ClaimResult> result(Claim claim) {
        return Optional.ofNullable(results.get(claim.rowKey()));
    }
}
