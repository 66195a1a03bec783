package org.streamring.direct.ledger;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.store.StorePosition;

/**
 * Collects what other entries know of the accounts' rows after the store was restored from an older copy. No leases may
 * be written meanwhile. Confined to the event loop.
 */
final class RowRecovery {
    /** Time after the first reading of the rows within which a new process is connected to the live entries. */
    private static final long FIRST_CONNECTIONS_MILLIS = 1_000;

    private final EventLoop loop;
    private final LeaseReader reader;
    private final LeaseRows rows;
    private final GrantCopies copies;
    private final LongSupplier era;
    private final BooleanSupplier mayHavePeers;
    private final LongSupplier clock;
    private final DecisionLog log;
    private int collections;
    private boolean collecting;
    private long collectingSinceMillis;
    private boolean logNextRead;
    private boolean firstRowsChecked;

    /**
     * Creates an instance that collects nothing yet.
     *
     * @param reader reads the rows again after the collection
     * @param era returns the current era of the store
     * @param mayHavePeers returns whether other entries may be live
     * @param clock milliseconds on a monotonic clock
     */
    RowRecovery(
            EventLoop loop,
            LeaseReader reader,
            LeaseRows rows,
            GrantCopies copies,
            LongSupplier era,
            BooleanSupplier mayHavePeers,
            LongSupplier clock,
            DecisionLog log) {
        this.loop = loop;
        this.reader = reader;
        this.rows = rows;
        this.copies = copies;
        this.era = era;
        this.mayHavePeers = mayHavePeers;
        this.clock = clock;
        this.log = log;
    }

    /** Returns whether other entries are being asked, so that no leases may be written. */
    boolean inProgress() {
        return collecting;
    }

    /** Starts to ask the other entries, because the store was restored from an older copy. */
    void storeRestored() {
        reader.invalidate();
        collect();
    }

    /**
     * Notes that the rows were read.
     *
     * @return whether they can be used; false if they were written before the current era and read for the first time,
     *     so that other entries have to be asked before
     */
    boolean rowsRead() {
        boolean first = !firstRowsChecked;
        firstRowsChecked = true;
        if (first && rowsMayLackChanges()) {
            collectOnceConnected();
            return false;
        }
        logRestoredRows();
        return true;
    }

    private boolean rowsMayLackChanges() {
        return era.getAsLong() != StorePosition.NO_ERA
                && mayHavePeers.getAsBoolean()
                && !rows.allWrittenIn(era.getAsLong());
    }

    private void collectOnceConnected() {
        collecting = true;
        int before = collections;
        loop.schedule(
                () -> {
                    if (collections == before) {
                        collect();
                    }
                },
                FIRST_CONNECTIONS_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void collect() {
        collections++;
        int current = collections;
        collecting = true;
        collectingSinceMillis = clock.getAsLong();
        copies.collect().thenAccept(answered -> {
            if (current == collections) {
                collected(answered);
            }
        });
    }

    private void collected(int answered) {
        log.line("ledger_collected", "entries", answered, "ms", clock.getAsLong() - collectingSinceMillis);
        collecting = false;
        logNextRead = true;
        reader.invalidate();
        reader.read();
    }

    private void logRestoredRows() {
        if (!logNextRead || collecting) {
            return;
        }
        logNextRead = false;
        log.line(
                "leases_restored",
                "era",
                era.getAsLong(),
                "lost_tokens",
                rows.lostTokens(),
                "ms",
                clock.getAsLong() - collectingSinceMillis);
    }
}
