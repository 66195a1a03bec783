package org.streamring.kernel.recovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.streamring.kernel.table.Row;

/**
 * Detects entries whose row no longer changes. The time without a change starts anew for every entry after an outage of
 * the table, because entries cannot write their rows during an outage.
 *
 * <p>Not thread-safe.
 */
public final class EntryFailureDetector {
    private final Duration suspectAfter;
    private final Map<String, LastChange> seen = new HashMap<>();
    private long lastScanMillis = Long.MIN_VALUE;

    private record LastChange(long version, long sinceMillis) {}

    /**
     * Creates a watch.
     *
     * @param suspectAfter time without a change after which an entry is suspected to be dead
     */
    public EntryFailureDetector(Duration suspectAfter) {
        this.suspectAfter = suspectAfter;
    }

    /**
     * Compares a scan of the rows of all entries with the previous scan.
     *
     * @param lastFailedCallMillis time of the last call by this process that the table did not answer; negative if
     *     there was none
     * @return the rows of the entries suspected to be dead
     */
    public List<Row> observe(List<Row> entryRows, long lastFailedCallMillis, long nowMillis) {
        if (lastFailedCallMillis >= lastScanMillis) {
            seen.clear();
        }
        lastScanMillis = nowMillis;
        Map<String, LastChange> newChanges = new HashMap<>();
        List<Row> suspects = new ArrayList<>();
        for (Row row : entryRows) {
            LastChange previous = seen.get(row.key());
            boolean unchanged = previous != null && previous.version() == row.version();
            LastChange change = unchanged ? previous : new LastChange(row.version(), nowMillis);
            newChanges.put(row.key(), change);
            if (nowMillis - change.sinceMillis() >= suspectAfter.toMillis()) {
                suspects.add(row);
            }
        }
        seen.clear();
        seen.putAll(newChanges);
        return suspects;
    }
}
