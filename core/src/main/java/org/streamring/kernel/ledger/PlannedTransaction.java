package org.streamring.kernel.ledger;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.streamring.kernel.table.RowOperation;

/**
 * Plan with its effects on the leases in memory.
 *
 * @param plan plan to apply
 * @param settledLeases leases that it settles
 * @param shrunk leases that it makes smaller
 * @param taken leases that it takes
 * @param remainingRows budgets by the key of their row of remaining tokens
 */
record PlannedTransaction(
        LedgerPlan plan,
        List<Lease> settledLeases,
        List<Lease> shrunk,
        List<Taken> taken,
        Map<String, String> remainingRows) {

    /**
     * Lease that the plan takes.
     *
     * @param budget budget that the lease is taken from
     * @param leaseId identifier of the lease
     */
    record Taken(String budget, String leaseId) {}

    Optional<String> budgetOfRemainingRow(String key) {
        return Optional.ofNullable(remainingRows.get(key));
    }

    void unfreeze() {
        settledLeases.forEach(lease -> lease.freeze(false));
        shrunk.forEach(lease -> lease.freeze(false));
    }

    /** Returns the keys of the rows to read if an earlier attempt of the plan took effect; they fit into one read. */
    List<String> writtenKeys() {
        return plan.transaction().operations().stream()
                .filter(operation -> !(operation instanceof RowOperation.Delete))
                .map(RowOperation::key)
                .toList();
    }
}
