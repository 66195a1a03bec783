package org.streamring.direct.peer;

import io.netty.channel.EventLoop;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.streamring.kernel.store.RowChange;
import org.streamring.kernel.store.RowKey;
import org.streamring.kernel.store.RowStore;
import org.streamring.kernel.store.StoredRow;
import org.streamring.net.peer.FleetKey;

/** The key that entries prove to each other; the first one to need it writes a random one to the store. */
final class FleetKeyRow {
    private static final RowKey KEY = new RowKey("streamring-fleet", "", "key");
    private static final long RETRY_MILLIS = 300;
    private static final int BYTES = 32;

    private final EventLoop loop;
    private final RowStore store;

    FleetKeyRow(EventLoop loop, RowStore store) {
        this.loop = loop;
        this.store = store;
    }

    /** Reads or creates the key, trying until the store answers. */
    void fetch(Consumer<FleetKey> then) {
        store.list(KEY.table(), KEY.partition()).whenComplete((page, failure) -> {
            if (failure != null) {
                later(then);
            } else if (page.rows().isEmpty()) {
                create(then);
            } else {
                found(page.rows(), then);
            }
        });
    }

    private void create(Consumer<FleetKey> then) {
        byte[] secret = new byte[BYTES];
        new SecureRandom().nextBytes(secret);
        String text = HexFormat.of().formatHex(secret);
        store.commit(List.of(new RowChange(KEY, 0, text))).whenComplete((result, failure) -> {
            if (failure == null && !result.committed()) {
                found(result.current(), then);
            } else {
                later(then);
            }
        });
    }

    private void found(List<StoredRow> rows, Consumer<FleetKey> then) {
        rows.stream()
                .filter(row -> row.key().equals(KEY) && !row.value().isEmpty())
                .findFirst()
                .ifPresentOrElse(row -> then.accept(new FleetKey(row.value())), () -> later(then));
    }

    private void later(Consumer<FleetKey> then) {
        loop.schedule(() -> fetch(then), RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
}
