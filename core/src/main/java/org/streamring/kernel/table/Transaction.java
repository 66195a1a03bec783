package org.streamring.kernel.table;

import java.util.List;

/**
 * Operations that take effect together or not at all.
 *
 * @param id identifier chosen by the client, which identifies the transaction if its answer was lost
 * @param operations operations, at least one, each on a different row
 */
public record Transaction(String id, List<RowOperation> operations) {
    /** Maximum number of operations in one transaction. */
    public static final int MAX_OPERATIONS = 100;

    /** Creates a transaction with a copy of the list. */
    public Transaction {
        operations = List.copyOf(operations);
    }
}
