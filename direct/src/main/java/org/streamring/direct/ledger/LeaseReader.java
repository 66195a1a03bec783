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
 * Reads all rows of leases at the start, and again when a write had no answer. Confined to the event loop.
 */
final class LeaseReader {
    /**
     * A read that hangs does not hold up the next one. The store's return is noticed within 0.65 s in tests with
     * processes; with one read at a time up to 1.6 s may pass, as a call is given up after 1.2 s.
     */
    private static final long READ_AGAIN_MILLIS = 300;

    private final EventLoop loop;
    private final RowStore store;
    private final LeaseRows rows;
    private final LongSupplier clock;
    private final Listener listener;
    private @Nullable Future<?> nextRead;
    private boolean listed;
    private boolean stopped;
    /** Reads that were sent before the last write failed tell nothing of what became of it. */
    private int failedWrites;

    /** Hears of reads. */
    interface Listener {
        /**
         * The store answered a read, which may be too old to be taken.
         *
         * @param storeMillis the store's clock at its answer
         * @param sentMillis when the read was sent, on this process's clock
         */
        void readAnswered(long storeMillis, long sentMillis);

        /** The rows are as the store holds them. */
        void rowsRead(long storeMillis);

        /** A read failed while the rows are not known. */
        void readFailed(Throwable failure);
    }

    /**
     * Creates one; nothing is read before {@link #read}.
     *
     * @param clock milliseconds since this process began, on a steady clock
     */
    LeaseReader(EventLoop loop, RowStore store, LeaseRows rows, LongSupplier clock, Listener listener) {
        this.loop = loop;
        this.store = store;
        this.rows = rows;
        this.clock = clock;
        this.listener = listener;
    }

    /** Whether the rows are known. */
    boolean listed() {
        return listed;
    }

    /** Reads no more. */
    void stop() {
        stopped = true;
    }

    /** Reads anew a little later, as nobody knows what became of a write. */
    void readAgainLater() {
        if (!stopped) {
            listed = false;
            failedWrites++;
            loop.schedule(this::read, READ_AGAIN_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Reads until the rows are known. */
    void read() {
        if (nextRead != null) {
            nextRead.cancel(false);
        }
        if (listed || stopped) {
            return;
        }
        nextRead = loop.schedule(this::read, READ_AGAIN_MILLIS, TimeUnit.MILLISECONDS);
        int failedBefore = failedWrites;
        long sentMillis = clock.getAsLong();
        CompletableFuture<RowPage> accounts = store.list(LeaseRows.ACCOUNTS, "");
        CompletableFuture<RowPage> marks = store.list(LeaseRows.MARKS, "");
        accounts.thenCombine(marks, (first, second) -> {
                    take(first, second, sentMillis, failedBefore);
                    return second;
                })
                .whenComplete((page, failure) -> {
                    if (failure != null && !listed) {
                        listener.readFailed(failure);
                    }
                });
    }

    private void take(RowPage accounts, RowPage marks, long sentMillis, int failedBefore) {
        listener.readAnswered(marks.storeMillis(), sentMillis);
        if (listed || failedBefore != failedWrites) {
            return;
        }
        rows.takeAll(accounts.rows());
        rows.takeAll(marks.rows());
        listed = true;
        listener.rowsRead(marks.storeMillis());
    }
}
