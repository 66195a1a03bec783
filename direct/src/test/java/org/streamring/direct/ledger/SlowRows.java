package org.streamring.direct.ledger;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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

/** In-memory row store that applies a write at once and answers it with a delay. */
final class SlowRows implements RowStore {
    /** Keys of the changed rows, by write. */
    final List<List<RowKey>> writes = new ArrayList<>();

    /** Whether new writes are answered. */
    boolean answers = true;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final long writeMillis;
    private final Map<RowKey, StoredRow> stored = new HashMap<>();
    private long version;

    SlowRows(EventLoop loop, LongSupplier clock, long writeMillis) {
        this.loop = loop;
        this.clock = clock;
        this.writeMillis = writeMillis;
    }

    /** Stores a row as another process would. */
    void put(RowKey key, String value) {
        version++;
        stored.put(key, new StoredRow(key, value, version, false));
    }

    /** Returns the value of a row. */
    String value(RowKey key) {
        return stored.get(key).value();
    }

    @Override
    public CompletableFuture<CommitResult> commit(List<RowChange> changes) {
        CompletableFuture<CommitResult> answer = new CompletableFuture<>();
        version++;
        changes.forEach(each -> stored.put(each.key(), new StoredRow(each.key(), each.value(), version, false)));
        CommitResult result = new CommitResult(true, StorePosition.withoutEra(version), clock.getAsLong(), List.of());
        if (answers) {
            loop.schedule(() -> answer.complete(result), writeMillis, TimeUnit.MILLISECONDS);
        }
        writes.add(changes.stream().map(RowChange::key).toList());
        return answer;
    }

    @Override
    public CompletableFuture<RowPage> list(String table, String partition) {
        List<StoredRow> found = new ArrayList<>(stored.values());
        found.removeIf(each -> !each.key().table().equals(table));
        return CompletableFuture.completedFuture(
                new RowPage(found, StorePosition.withoutEra(version), clock.getAsLong(), false));
    }

    @Override
    public CompletableFuture<RowPage> watch(String table, StorePosition since, Duration wait) {
        return new CompletableFuture<>();
    }
}
