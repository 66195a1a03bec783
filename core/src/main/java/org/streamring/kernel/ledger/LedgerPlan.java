package org.streamring.kernel.ledger;

import java.util.List;
import org.streamring.kernel.table.Transaction;

/**
 * Transaction of an entry on its leases, with the bill batch to write before it.
 *
 * @param sequence position in the order of the transactions of the entry
 * @param transaction transaction to apply
 * @param billItems bill items of the leases that it settles
 * @param settledLeases leases that it settles
 */
public record LedgerPlan(
        long sequence, Transaction transaction, List<BillItem> billItems, List<SettledLease> settledLeases) {
    /** Copies the lists. */
    public LedgerPlan {
        billItems = List.copyOf(billItems);
        settledLeases = List.copyOf(settledLeases);
    }

    /**
     * Lease that a plan settles.
     *
     * @param leaseId identifier of the lease
     * @param held whether part of it stays held, so that sidecars must keep its receipts
     */
    public record SettledLease(String leaseId, boolean held) {}
}
