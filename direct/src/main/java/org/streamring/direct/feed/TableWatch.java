package org.streamring.direct.feed;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.streamring.kernel.store.RowPage;
import org.streamring.kernel.store.RowStore;
import org.streamring.kernel.store.StorePosition;
import org.streamring.kernel.store.StoreView;
import org.streamring.kernel.store.StoredRow;

/**
 * Watches a table: lists it, then waits for changes, and lists it again if changes were missed.
 *
 * <p>The observed state goes back only if the store was restored from an older copy: otherwise, a list older than the
 * last known position is requested again, and a row older than its last known version is ignored. After a restore, the
 * rows may lack what other writers have not written again yet, so they are listed once more after they had time to.
 * Confined to the event loop.
 */
public final class TableWatch {
    /**
     * Longest wait of a call for changes. With 2 s, the shutdown of a replica was noticed up to 3.2 s late if a call
     * hung, although a replica stops serving 2 s after it is announced.
     */
    public static final Duration WAIT = Duration.ofMillis(600);

    /**
     * Delay after which an overdue call is repeated on another connection while the first one is still pending. A
     * hanging call times out only after 1.8 s; without the second call, requests were still sent to a replica 2,057 ms
     * after it began to shut down.
     */
    private static final long SECOND_CALL_DELAY_MILLIS = 400;

    private static final long RETRY_DELAY_MILLIS = 200;

    /** Time within which the operator and the servers write again what a restored store has lost, and some margin. */
    private static final long REWRITE_MILLIS = 2_200;

    private final EventLoop loop;
    private final RowStore store;
    private final String table;
    private final AfterGap afterGap;
    private final Duration wait;
    private final LongSupplier clock;
    private final List<Listener> listeners;
    private final StoreView view = new StoreView();
    private final Map<String, Long> versions = new HashMap<>();
    private long rewrittenMillis = Long.MIN_VALUE;
    private boolean rewriting;
    private boolean listed;
    private boolean unreachable;
    private boolean stopped;

    /** How to continue after the store was unreachable. */
    public enum AfterGap {
        /** Read all missed changes, for tables whose intermediate row values matter. */
        CHANGES,
        /**
         * List the current table, for tables where only the newest values matter and the missed changes may be large.
         * When 35 configurations of 250 routes were missed during a disconnection of 8 s, reading them all delayed the
         * newest one by another 8 to 10 s on boxes with links of 10 Mbit/s.
         */
        LIST
    }

    /** Receives the content of the table and its changes. */
    public interface Listener {
        /** Called with all current rows of the table. */
        void onList(List<StoredRow> rows);

        /**
         * Called instead of {@link #onList} while rows that a restored store has lost may still be written again. Rows
         * may be missing, older than known, or present although they were removed.
         */
        default void onRestoredList(List<StoredRow> rows) {
            onList(rows);
        }

        /** Called when a row was written or removed. */
        void onChange(StoredRow row);

        /** Called when the store becomes unreachable. Listeners that keep their last state need not override this. */
        default void onUnreachable(String reason) {}

        /** Called when the store is reachable again, before its current state is reported. */
        default void onReachable() {}

        /**
         * Called when a list is not used because it is older than what is known.
         *
         * @param listed position of the list
         * @param known latest position that is known
         */
        default void onListDropped(StorePosition listed, StorePosition known) {}
    }

    /**
     * Creates a watch; the store is not accessed before {@link #start}.
     *
     * @param wait longest wait of a call for changes; a longer wait needs fewer calls, but a change is noticed later if
     *     a call hangs
     * @param clock milliseconds on a monotonic clock
     * @param listeners listeners, called in this order
     */
    public TableWatch(
            EventLoop loop,
            RowStore store,
            String table,
            AfterGap afterGap,
            Duration wait,
            LongSupplier clock,
            List<Listener> listeners) {
        this.loop = loop;
        this.store = store;
        this.table = table;
        this.afterGap = afterGap;
        this.wait = wait;
        this.clock = clock;
        this.listeners = List.copyOf(listeners);
    }

    /** Starts to watch the table. */
    public void start() {
        list();
    }

    /** Returns the position of the last answer that was used, and when it arrived. */
    public StoreView view() {
        return view;
    }

    /** Stops watching the table. */
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
            } else if (page.position().isBefore(view.position())) {
                listeners.forEach(each -> each.onListDropped(page.position(), view.position()));
                scheduleRetry();
            } else {
                handleList(page);
            }
        });
    }

    private void handleList(RowPage page) {
        markReachable();
        listed = true;
        if (isOfNewEra(page.position())) {
            versions.clear();
            rewriting = true;
            rewrittenMillis = clock.getAsLong() + REWRITE_MILLIS;
        }
        rewriting &= clock.getAsLong() < rewrittenMillis;
        view.confirm(page.position(), clock.getAsLong());
        page.rows().forEach(row -> versions.merge(row.key().key(), row.version(), Math::max));
        listeners.forEach(each -> passOn(page.rows(), each));
        watch();
    }

    private boolean isOfNewEra(StorePosition position) {
        return listedBefore() && position.era() > view.position().era();
    }

    private boolean listedBefore() {
        return !view.position().equals(StorePosition.NONE);
    }

    private void passOn(List<StoredRow> rows, Listener listener) {
        if (rewriting) {
            listener.onRestoredList(rows);
        } else {
            listener.onList(rows);
        }
    }

    private void watch() {
        if (stopped) {
            return;
        }
        if (rewriting && clock.getAsLong() >= rewrittenMillis) {
            list();
            return;
        }
        new PendingWatch().begin();
    }

    /** A pending wait for changes. If the first call is overdue, a second one is sent; the first result is used. */
    private final class PendingWatch {
        private boolean finished;

        private void begin() {
            call();
            loop.schedule(this::repeatCall, wait.toMillis() + SECOND_CALL_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }

        private void repeatCall() {
            if (!finished && !stopped) {
                call();
            }
        }

        private void call() {
            store.watch(table, view.position(), wait).whenComplete((page, failure) -> {
                if (finished) {
                    return;
                }
                finished = true;
                if (failure == null) {
                    handlePage(page);
                } else {
                    failed(failure);
                }
            });
        }
    }

    private void handlePage(RowPage page) {
        if (page.changesMissing()) {
            markReachable();
            listed = false;
            list();
        } else {
            handleChanges(page);
        }
    }

    private void handleChanges(RowPage page) {
        markReachable();
        boolean older = page.position().isBefore(view.position());
        view.confirm(older ? view.position() : page.position(), clock.getAsLong());
        for (StoredRow row : page.rows()) {
            long before = versions.getOrDefault(row.key().key(), -1L);
            if (row.version() > before) {
                versions.put(row.key().key(), row.version());
                listeners.forEach(each -> each.onChange(row));
            }
        }
        if (afterGap == AfterGap.LIST && holdsOutdatedRows(page.rows())) {
            list();
        } else {
            watch();
        }
    }

    /**
     * Returns whether the page holds several versions of a row. Changes then arrive faster than they are read, so the
     * next page may hold even more of them.
     */
    private static boolean holdsOutdatedRows(List<StoredRow> rows) {
        return rows.stream().map(StoredRow::key).distinct().count() < rows.size();
    }

    private void markReachable() {
        if (unreachable) {
            unreachable = false;
            listeners.forEach(Listener::onReachable);
        }
    }

    private void failed(Throwable failure) {
        if (!unreachable) {
            unreachable = true;
            String reason = String.valueOf(failure.getMessage());
            listeners.forEach(each -> each.onUnreachable(reason));
        }
        scheduleRetry();
    }

    private void scheduleRetry() {
        boolean byChanges = listed && afterGap == AfterGap.CHANGES;
        loop.schedule(byChanges ? this::watch : this::list, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
}
