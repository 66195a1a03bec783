package org.streamring.direct.feed;

import java.util.List;
import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.store.StoredRow;

/** Logs when a table of the store can't be followed any more, and when it can again. */
public final class WatchLog implements TableWatch.Listener {
    private final String by;
    private final DecisionLog log;

    /**
     * Creates one.
     *
     * @param by who follows the table
     */
    public WatchLog(String by, DecisionLog log) {
        this.by = by;
        this.log = log;
    }

    @Override
    public void listed(List<StoredRow> rows) {
        // those who use the rows log what they make of them
    }

    @Override
    public void changed(StoredRow row) {
        // those who use the rows log what they make of them
    }

    @Override
    public void lost(String reason) {
        log.line("store_lost", "by", by, "reason", reason);
    }

    @Override
    public void regained() {
        log.line("store_regained", "by", by);
    }
}
