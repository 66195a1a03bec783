package org.streamring.kernel.recovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.streamring.kernel.table.Row;

/**
 * Finds entries whose row no longer changes. Time counts only while the table answers: after an outage every entry gets
 * the whole time again, since it could not have written during it.
 *
 * <p>Not safe for use by several threads.
 */
public final class EntryWatch {
    private final Duration suspectAfter;
    private final Map<String, Seen> seen = new HashMap<>();
    private long lastScanMillis = Long.MIN_VALUE;

    private record Seen(long version, long sinceMillis) {}

    /**
     * Creates one.
     *
     * @param suspectAfter time without a change after which an entry is taken for dead
     */
    public EntryWatch(Duration suspectAfter) {
        this.suspectAfter = suspectAfter;
    }

    /**
     * Takes in a scan of all entries' rows.
     *
     * @param lastTroubleMillis when the table last gave this process no answer; negative for never
     * @return the rows of entries taken for dead
     */
    public List<Row> observe(List<Row> entryRows, long lastTroubleMillis, long nowMillis) {
        if (lastTroubleMillis >= lastScanMillis) {
            seen.clear();
        }
        lastScanMillis = nowMillis;
        Map<String, Seen> next = new HashMap<>();
        List<Row> suspects = new ArrayList<>();
        for (Row row : entryRows) {
            Seen before = seen.get(row.key());
            boolean unchanged = before != null && before.version() == row.version();
            Seen now = unchanged ? before : new Seen(row.version(), nowMillis);
            next.put(row.key(), now);
            if (nowMillis - now.sinceMillis() >= suspectAfter.toMillis()) {
                suspects.add(row);
            }
        }
        seen.clear();
        seen.putAll(next);
        return suspects;
    }
}
