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

/**
 * Fetches the key of the fleet, which entries use to authenticate to each other. The first entry that needs the key
 * writes a random one to the store.
 */
final class FleetKeyRow {
    private static final RowKey KEY = new RowKey("streamring-fleet", "", "key");
    private static final long RETRY_DELAY_MILLIS = 300;
    private static final int KEY_BYTES = 32;

    private final EventLoop loop;
    private final RowStore store;
    private String secret = "";

    FleetKeyRow(EventLoop loop, RowStore store) {
        this.loop = loop;
        this.store = store;
    }

    /**
     * Reads the key, or writes it if there is none, and retries until the store answers. After the store was restored
     * from an older copy, this writes the key again, or returns the one that another entry has written meanwhile.
     */
    void fetch(Consumer<FleetKey> then) {
        store.list(KEY.table(), KEY.partition()).whenComplete((page, failure) -> {
            if (failure != null) {
                retryLater(then);
            } else if (page.rows().isEmpty()) {
                write(then);
            } else {
                acceptKey(page.rows(), then);
            }
        });
    }

    private static String randomSecret() {
        byte[] secret = new byte[KEY_BYTES];
        new SecureRandom().nextBytes(secret);
        return HexFormat.of().formatHex(secret);
    }

    private void write(Consumer<FleetKey> then) {
        String text = secret.isEmpty() ? randomSecret() : secret;
        store.commit(List.of(new RowChange(KEY, 0, text))).whenComplete((result, failure) -> {
            if (failure == null && !result.committed()) {
                acceptKey(result.current(), then);
            } else {
                retryLater(then);
            }
        });
    }

    private void acceptKey(List<StoredRow> rows, Consumer<FleetKey> then) {
        rows.stream()
                .filter(row -> row.key().equals(KEY) && !row.value().isEmpty())
                .findFirst()
                .ifPresentOrElse(row -> use(row.value(), then), () -> retryLater(then));
    }

    private void use(String text, Consumer<FleetKey> then) {
        secret = text;
        then.accept(new FleetKey(text));
    }

    private void retryLater(Consumer<FleetKey> then) {
        loop.schedule(() -> fetch(then), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
}
