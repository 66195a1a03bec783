package org.streamring.kernel.ledger;

import java.util.List;
import org.streamring.kernel.table.Transaction;

/**
 * One transaction of an entry on its leases, with the bill batch to be written before it.
 *
 * @param sequence position in the order of the entry's transactions
 * @param transaction what to apply
 * @param billItems items of the leases that it settles
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
     * A lease that a plan settles.
     *
     * @param leaseId the lease
     * @param held whether part of it stays held, so that sidecars must keep its receipts
     */
    public record SettledLease(String leaseId, boolean held) {}
}
