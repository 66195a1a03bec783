package org.streamring.direct.feed;

import java.util.List;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.metrics.EntryMetrics;
import org.streamring.kernel.store.StorePosition;
import org.streamring.kernel.store.StoredRow;

/** Logs when a table can no longer be read from the store, and when it can be read again. */
public final class WatchLog implements TableWatch.Listener {
    private final String by;
    private final EntryMetrics metrics;
    private final DecisionLog log;

    /**
     * Creates a listener that writes to the given log.
     *
     * @param by name under which the watch of the table is logged
     */
    public WatchLog(String by, EntryMetrics metrics, DecisionLog log) {
        this.by = by;
        this.metrics = metrics;
        this.log = log;
    }

    @Override
    public void onList(List<StoredRow> rows) {
        // logged by the listeners that process the rows
    }

    @Override
    public void onChange(StoredRow row) {
        // logged by the listeners that process the rows
    }

    @Override
    public void onUnreachable(String reason) {
        log.line("store_lost", "by", by, "reason", reason);
    }

    @Override
    public void onReachable() {
        log.line("store_regained", "by", by);
    }

    @Override
    public void onListDropped(StorePosition listed, StorePosition known) {
        metrics.storeAnswerDropped("list_older_than_known");
        log.line(
                "list_dropped",
                "by",
                by,
                "era",
                listed.era(),
                "version",
                listed.version(),
                "known_era",
                known.era(),
                "known_version",
                known.version());
    }
}
