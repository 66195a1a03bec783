package org.streamring.kernel.ledger;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.streamring.kernel.table.RowOperation;

/**
 * A plan with what it does to the leases in memory.
 *
 * @param plan the plan
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
     * A lease being taken.
     *
     * @param budget budget concerned
     * @param leaseId its identifier
     */
    record Taken(String budget, String leaseId) {}

    Optional<String> budgetOfRemainingRow(String key) {
        return Optional.ofNullable(remainingRows.get(key));
    }

    void thaw() {
        settledLeases.forEach(lease -> lease.freeze(false));
        shrunk.forEach(lease -> lease.freeze(false));
    }

    /** Rows to read back if an earlier try of the plan took effect; at most one read. */
    List<String> writtenKeys() {
        return plan.transaction().operations().stream()
                .filter(operation -> !(operation instanceof RowOperation.Delete))
                .map(RowOperation::key)
                .toList();
    }
}
