package org.streamring.kernel.store;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's store of versioned rows. Calls return immediately; the futures fail with a {@link StoreException}. */
public interface RowStore {
    /** Changes rows of one partition atomically. */
    CompletableFuture<CommitResult> commit(List<RowChange> changes);

    /** Reads all rows of a partition. */
    CompletableFuture<RowPage> list(String table, String partition);

    /**
     * Waits for changes of a table.
     *
     * @param since position after which changes are returned
     * @param wait maximum wait, after which a page without rows is returned
     */
    CompletableFuture<RowPage> watch(String table, StorePosition since, Duration wait);
}
