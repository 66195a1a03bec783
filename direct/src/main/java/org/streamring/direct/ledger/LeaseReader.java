package org.streamring.direct.ledger;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.streamring.kernel.store.RowPage;
import org.streamring.kernel.store.RowStore;

/**
 * Reads all lease rows from the store at startup, and again after a write got no answer. Confined to the event loop.
 */
final class LeaseReader {
    /**
     * Reads overlap, so that one that hangs does not delay the next. A recovered store is detected within 0.65 s in
     * tests with processes; with one read at a time it takes up to 1.6 s, because a call times out after 1.2 s.
     */
    private static final long READ_INTERVAL_MILLIS = 300;

    private final EventLoop loop;
    private final RowStore store;
    private final LeaseRows rows;
    private final LongSupplier clock;
    private final Listener listener;
    private @Nullable Future<?> nextRead;
    private boolean rowsLoaded;
    private boolean stopped;
    /**
     * Number of failed writes. A read that was sent before the last failure may not include the effect of that write.
     */
    private int failedWrites;

    /** Receives the results of reads. */
    interface Listener {
        /**
         * Called for each answer to a read, also for one that is too old to be used.
         *
         * @param storeMillis time of the store's clock when it answered
         * @param sentMillis time at which the read was sent, on this process's clock
         */
        void readAnswered(long storeMillis, long sentMillis);

        /** Called when all rows have been read and are up to date. */
        void rowsRead(long storeMillis);

        /** Called when a read fails while the rows are not up to date. */
        void readFailed(Throwable failure);
    }

    /**
     * Creates a reader; nothing is read before {@link #read}.
     *
     * @param clock milliseconds since this process started, on a monotonic clock
     */
    LeaseReader(EventLoop loop, RowStore store, LeaseRows rows, LongSupplier clock, Listener listener) {
        this.loop = loop;
        this.store = store;
        this.rows = rows;
        this.clock = clock;
        this.listener = listener;
    }

    /** Returns whether the rows have been read since the start and since the last failed write. */
    boolean rowsLoaded() {
        return rowsLoaded;
    }

    /** Stops reading. */
    void stop() {
        stopped = true;
    }

    /** Stops using what was read so far and the reads in progress; {@link #read} starts again. */
    void invalidate() {
        rowsLoaded = false;
        failedWrites++;
    }

    /** Schedules another read, because it is unknown whether a write took effect. */
    void readAgainLater() {
        if (!stopped) {
            invalidate();
            loop.schedule(this::read, READ_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Reads the rows, and repeats until a read succeeds. */
    void read() {
        if (nextRead != null) {
            nextRead.cancel(false);
        }
        if (rowsLoaded || stopped) {
            return;
        }
        nextRead = loop.schedule(this::read, READ_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        int failedBefore = failedWrites;
        long sentMillis = clock.getAsLong();
        CompletableFuture<RowPage> accounts = store.list(LeaseRows.ACCOUNTS, "");
        CompletableFuture<RowPage> usageCaps = store.list(LeaseRows.USAGE_CAPS, "");
        accounts.thenCombine(usageCaps, (first, second) -> {
                    applyPages(first, second, sentMillis, failedBefore);
                    return second;
                })
                .whenComplete((page, failure) -> {
                    if (failure != null && !rowsLoaded) {
                        listener.readFailed(failure);
                    }
                });
    }

    private void applyPages(RowPage accounts, RowPage usageCaps, long sentMillis, int failedBefore) {
        listener.readAnswered(usageCaps.storeMillis(), sentMillis);
        if (rowsLoaded || failedBefore != failedWrites) {
            return;
        }
        rows.cacheTables(accounts, usageCaps);
        rowsLoaded = true;
        listener.rowsRead(usageCaps.storeMillis());
    }
}
