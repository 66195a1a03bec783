package org.streamring.direct.ledger;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.streamring.kernel.store.StorePosition;

/** Stands for a fleet in which no other entry is connected. */
final class NoCopies implements GrantCopies {
    @Override
    public CompletableFuture<Boolean> keep(Map<String, Long> grants, StorePosition position) {
        return CompletableFuture.completedFuture(true);
    }

    @Override
    public CompletableFuture<Integer> collect() {
        return CompletableFuture.completedFuture(0);
    }
}
