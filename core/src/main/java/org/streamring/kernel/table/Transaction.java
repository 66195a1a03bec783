package org.streamring.kernel.table;

import java.util.List;

/**
 * Operations that take effect together or not at all.
 *
 * @param id identifier chosen by the writer, by which a lost answer is resolved
 * @param operations at least one, each on a different row
 */
public record Transaction(String id, List<RowOperation> operations) {
    /** Most operations that one transaction may hold. */
    public static final int MAX_OPERATIONS = 100;

    /** Copies the list. */
    public Transaction {
        operations = List.copyOf(operations);
    }
}
