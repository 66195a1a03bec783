package org.streamring.direct.feed;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.streamring.kernel.store.RowChange;
import org.streamring.kernel.store.RowKey;
import org.streamring.kernel.store.RowPage;
import org.streamring.kernel.store.RowStore;
import org.streamring.kernel.store.StoredRow;

/**
 * Counts the live entries: each writes a row from time to time, and reads whose row still changes.
 *
 * <p>While the store is away the last count stands. Confined to the event loop.
 */
public final class MemberRegister {
    private static final String TABLE = "streamring-members";
    private static final String STOPPED = "stopped";
    private static final long BASE_MILLIS = 2_000;
    private static final long MILLIS_PER_ENTRY = 20;
    private static final int MISSED_BEATS = 3;

    private final EventLoop loop;
    private final RowStore store;
    private final RowKey ownKey;
    private final String incarnation;
    private final LongSupplier clock;
    private final Map<String, Seen> seen = new HashMap<>();
    private long ownVersion;
    private int live = 1;
    private boolean stopping;

    private record Seen(long version, long changedMillis, boolean stopped) {}

    /** Creates one; nothing happens before {@link #start}. */
    public MemberRegister(EventLoop loop, RowStore store, String nodeName, String incarnation, LongSupplier clock) {
        this.loop = loop;
        this.store = store;
        this.ownKey = new RowKey(TABLE, "", nodeName);
        this.incarnation = incarnation;
        this.clock = clock;
    }

    /** Starts to write and read. */
    public void start() {
        refresh();
    }

    /** Entries that are alive, this one included. */
    public int live() {
        return live;
    }

    /** Tells the others that this entry stops. */
    public void stop() {
        stopping = true;
        write(STOPPED);
    }

    private void refresh() {
        store.list(TABLE, "").whenComplete((page, failure) -> {
            if (failure == null) {
                take(page);
                if (!stopping) {
                    write(incarnation);
                }
            }
            loop.schedule(this::refresh, interval(), TimeUnit.MILLISECONDS);
        });
    }

    private long interval() {
        return BASE_MILLIS + MILLIS_PER_ENTRY * live;
    }

    private void take(RowPage page) {
        long now = clock.getAsLong();
        for (StoredRow row : page.rows()) {
            if (row.key().equals(ownKey)) {
                ownVersion = row.version();
                continue;
            }
            Seen before = seen.get(row.key().key());
            if (before == null || before.version() != row.version()) {
                seen.put(
                        row.key().key(),
                        new Seen(row.version(), now, row.value().equals(STOPPED)));
            }
        }
        long oldest = now - interval() * MISSED_BEATS;
        long others = seen.values().stream()
                .filter(each -> !each.stopped() && each.changedMillis() >= oldest)
                .count();
        live = 1 + (int) others;
    }

    private void write(String value) {
        store.commit(List.of(new RowChange(ownKey, ownVersion, value))).whenComplete((result, failure) -> {
            if (failure == null && result.committed()) {
                ownVersion = result.version();
            }
        });
    }
}
