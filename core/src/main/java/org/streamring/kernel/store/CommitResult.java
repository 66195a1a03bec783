package org.streamring.kernel.store;

import java.util.List;

/**
 * Answer of the store to a transaction.
 *
 * @param committed whether the transaction took effect; if false, it will not take effect later
 * @param version version of the changed rows if the transaction took effect
 * @param storeMillis time of the answer by the store's monotonic clock, in milliseconds
 * @param current current rows of the conditions if the transaction did not take effect
 */
public record CommitResult(boolean committed, long version, long storeMillis, List<StoredRow> current) {
    /** Creates a result with a copy of the list. */
    public CommitResult {
        current = List.copyOf(current);
    }
}
