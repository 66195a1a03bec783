package org.streamring.kernel.store;

import java.util.List;

/**
 * Answer of the store to a transaction.
 *
 * @param committed whether the transaction took effect; if false, it will not take effect later
 * @param position position of the store after the transaction; if it took effect, its version is that of the changed
 *     rows
 * @param storeMillis time of the answer by the store's monotonic clock, in milliseconds
 * @param current current rows of the conditions if the transaction did not take effect
 */
public record CommitResult(boolean committed, StorePosition position, long storeMillis, List<StoredRow> current) {
    /** Creates a result with a copy of the list. */
    public CommitResult {
        current = List.copyOf(current);
    }
}
