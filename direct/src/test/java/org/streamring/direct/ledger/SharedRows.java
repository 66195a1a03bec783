package org.streamring.direct.ledger;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.streamring.kernel.store.CommitResult;
import org.streamring.kernel.store.RowChange;
import org.streamring.kernel.store.RowKey;
import org.streamring.kernel.store.RowPage;
import org.streamring.kernel.store.RowStore;
import org.streamring.kernel.store.StorePosition;
import org.streamring.kernel.store.StoredRow;

/** In-memory row store of several entries: a write takes effect on half of its way, unless its rows have changed. */
final class SharedRows implements RowStore {
    private final EventLoop loop;
    private final LongSupplier clock;
    private final long halfWayMillis;
    private final Map<RowKey, StoredRow> stored = new HashMap<>();
    private long version;

    SharedRows(EventLoop loop, LongSupplier clock, long halfWayMillis) {
        this.loop = loop;
        this.clock = clock;
        this.halfWayMillis = halfWayMillis;
    }

    /** Stores a row at once. */
    void put(RowKey key, String value) {
        version++;
        stored.put(key, new StoredRow(key, value, version, false));
    }

    @Override
    public CompletableFuture<CommitResult> commit(List<RowChange> changes) {
        CompletableFuture<CommitResult> answer = new CompletableFuture<>();
        later(() -> {
            CommitResult result = apply(changes);
            later(() -> answer.complete(result));
        });
        return answer;
    }

    private void later(Runnable next) {
        loop.schedule(next, halfWayMillis, TimeUnit.MILLISECONDS);
    }

    private CommitResult apply(List<RowChange> changes) {
        boolean committed = changes.stream().allMatch(each -> versionOf(each.key()) == each.expectedVersion());
        if (committed) {
            version++;
            changes.forEach(each -> stored.put(each.key(), new StoredRow(each.key(), each.value(), version, false)));
        }
        List<StoredRow> current = changes.stream()
                .flatMap(each -> Optional.ofNullable(stored.get(each.key())).stream())
                .toList();
        return new CommitResult(
                committed, StorePosition.withoutEra(version), clock.getAsLong(), committed ? List.of() : current);
    }

    private long versionOf(RowKey key) {
        return Optional.ofNullable(stored.get(key)).map(StoredRow::version).orElse(0L);
    }

    @Override
    public CompletableFuture<RowPage> list(String table, String partition) {
        CompletableFuture<RowPage> answer = new CompletableFuture<>();
        later(() -> {
            List<StoredRow> found = new ArrayList<>(stored.values());
            found.removeIf(each -> !each.key().table().equals(table));
            RowPage page = new RowPage(found, StorePosition.withoutEra(version), clock.getAsLong(), false);
            later(() -> answer.complete(page));
        });
        return answer;
    }

    @Override
    public CompletableFuture<RowPage> watch(String table, StorePosition since, Duration wait) {
        return new CompletableFuture<>();
    }
}
