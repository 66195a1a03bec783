package org.streamring.kernel.store;

import java.util.List;

/**
 * The store's answer to a transaction.
 *
 * @param committed whether it took effect; if not, it never will
 * @param version version of the changed rows, if it took effect
 * @param storeMillis the store's steady clock at its answer
 * @param current the rows of its conditions as they stand, if it did not
 */
public record CommitResult(boolean committed, long version, long storeMillis, List<StoredRow> current) {
    /** Copies the list. */
    public CommitResult {
        current = List.copyOf(current);
    }
}
