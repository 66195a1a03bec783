package org.streamring.direct.request;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.streamring.kernel.store.CommitResult;
import org.streamring.kernel.store.RowChange;
import org.streamring.kernel.store.RowPage;
import org.streamring.kernel.store.RowStore;
import org.streamring.kernel.store.StorePosition;

/** A store that never answers. */
final class UnresponsiveStore implements RowStore {
    @Override
    public CompletableFuture<CommitResult> commit(List<RowChange> changes) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<RowPage> list(String table, String partition) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<RowPage> watch(String table, StorePosition since, Duration wait) {
        return new CompletableFuture<>();
    }
}
