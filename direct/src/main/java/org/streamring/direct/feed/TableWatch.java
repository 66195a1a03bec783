package org.streamring.direct.feed;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.streamring.kernel.store.RowPage;
import org.streamring.kernel.store.RowStore;
import org.streamring.kernel.store.StoredRow;

/**
 * Follows a table: lists it, then waits for changes, and lists it anew when changes were missed.
 *
 * <p>Never goes back: a list older than what is known is asked for again, and a row older than its last version is
 * passed over. Confined to the event loop.
 */
public final class TableWatch {
    /** With 2 s here the leaving of a replica became known up to 3.2 s late where a call hung, of 2 s left for it. */
    public static final Duration WAIT = Duration.ofMillis(600);

    /**
     * A call that hangs is given up only after 1.8 s, when a replica that left was still sent requests 2,057 ms later;
     * where an answer is late by this, another connection is asked besides.
     */
    private static final long SILENT_MILLIS = 400;

    private static final long RETRY_MILLIS = 200;

    private final EventLoop loop;
    private final RowStore store;
    private final String table;
    private final AfterGap afterGap;
    private final Duration wait;
    private final List<Listener> listeners;
    private final Map<String, Long> versions = new HashMap<>();
    private long known = -1;
    private boolean listed;
    private boolean away;
    private boolean stopped;

    /** How to go on where the store was out of reach for a while. */
    public enum AfterGap {
        /** With all changes that were missed: what a row said in between matters. */
        CHANGES,
        /**
         * With the table as it stands: only the newest matters, and all that was missed may be large. Thirty-five
         * configurations of 250 routes, missed in a cut of eight seconds, kept boxes with links of 10 Mbit/s from the
         * newest one for another 8 to 10 s.
         */
        LIST
    }

    /** Hears what the table holds. */
    public interface Listener {
        /** The whole table as it stands. */
        void listed(List<StoredRow> rows);

        /** A row was written or removed. */
        void changed(StoredRow row);

        /** The store can't be reached, since now; for those who keep what they know meanwhile, nothing follows. */
        default void lost(String reason) {}

        /** The store can be reached again, and what follows is its state since then. */
        default void regained() {}
    }

    /**
     * Creates one; nothing happens before {@link #start}.
     *
     * @param wait longest wait of a call for changes; the longer, the fewer calls, and the later a change is known
     *     where a call hangs
     * @param listeners told in this order
     */
    public TableWatch(
            EventLoop loop, RowStore store, String table, AfterGap afterGap, Duration wait, List<Listener> listeners) {
        this.loop = loop;
        this.store = store;
        this.table = table;
        this.afterGap = afterGap;
        this.wait = wait;
        this.listeners = List.copyOf(listeners);
    }

    /** Starts to follow. */
    public void start() {
        list();
    }

    /** Ends. */
    public void stop() {
        stopped = true;
    }

    private void list() {
        if (stopped) {
            return;
        }
        store.list(table, "").whenComplete((page, failure) -> {
            if (failure != null) {
                failed(failure);
            } else if (page.version() < known) {
                later();
            } else {
                takeList(page);
            }
        });
    }

    private void takeList(RowPage page) {
        reached();
        listed = true;
        known = page.version();
        page.rows().forEach(row -> versions.merge(row.key().key(), row.version(), Math::max));
        listeners.forEach(each -> each.listed(page.rows()));
        watch();
    }

    private void watch() {
        if (stopped) {
            return;
        }
        new Look().begin();
    }

    /** One wait for changes; asked by a second call as well where the first is silent. The first end counts. */
    private final class Look {
        private boolean over;

        private void begin() {
            ask();
            loop.schedule(this::askAgain, wait.toMillis() + SILENT_MILLIS, TimeUnit.MILLISECONDS);
        }

        private void askAgain() {
            if (!over && !stopped) {
                ask();
            }
        }

        private void ask() {
            store.watch(table, known, wait).whenComplete((page, failure) -> {
                if (over) {
                    return;
                }
                over = true;
                if (failure == null) {
                    take(page);
                } else {
                    failed(failure);
                }
            });
        }
    }

    private void take(RowPage page) {
        if (page.historyLost()) {
            reached();
            listed = false;
            list();
        } else {
            takeChanges(page);
        }
    }

    private void takeChanges(RowPage page) {
        reached();
        known = Math.max(known, page.version());
        for (StoredRow row : page.rows()) {
            long before = versions.getOrDefault(row.key().key(), -1L);
            if (row.version() > before) {
                versions.put(row.key().key(), row.version());
                listeners.forEach(each -> each.changed(row));
            }
        }
        if (afterGap == AfterGap.LIST && holdsOutdatedRows(page.rows())) {
            list();
        } else {
            watch();
        }
    }

    /** Changes come faster than they are read, so that the next answer may hold more of them than this one. */
    private static boolean holdsOutdatedRows(List<StoredRow> rows) {
        return rows.stream().map(StoredRow::key).distinct().count() < rows.size();
    }

    private void reached() {
        if (away) {
            away = false;
            listeners.forEach(Listener::regained);
        }
    }

    private void failed(Throwable failure) {
        if (!away) {
            away = true;
            String reason = String.valueOf(failure.getMessage());
            listeners.forEach(each -> each.lost(reason));
        }
        later();
    }

    private void later() {
        boolean byChanges = listed && afterGap == AfterGap.CHANGES;
        loop.schedule(byChanges ? this::watch : this::list, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
}
