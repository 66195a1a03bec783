package org.streamring.kernel.store;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's store of versioned rows. Calls return at once; futures fail with {@link StoreException}. */
public interface RowStore {
    /** Changes rows of one partition together or not at all. */
    CompletableFuture<CommitResult> commit(List<RowChange> changes);

    /** Reads all rows of a partition. */
    CompletableFuture<RowPage> list(String table, String partition);

    /**
     * Waits for changes of a table.
     *
     * @param sinceVersion version up to which changes are known
     * @param wait longest wait; an answer without rows comes afterwards
     */
    CompletableFuture<RowPage> watch(String table, long sinceVersion, Duration wait);
}
