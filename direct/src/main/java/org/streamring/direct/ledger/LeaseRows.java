package org.streamring.direct.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.prepaid.MarkRow;
import org.streamring.kernel.prepaid.PrepaidRow;
import org.streamring.kernel.store.RowChange;
import org.streamring.kernel.store.RowKey;
import org.streamring.kernel.store.StoredRow;

/** Cache of the lease rows as last read from or written to the store. Confined to the event loop. */
final class LeaseRows {
    static final String ACCOUNTS = "streamring-prepaid";
    static final String USAGE_CAPS = "streamring-marks";

    private final DecisionLog log;
    private final RowKey ownUsageCapsKey;
    private final Map<String, CachedRow> accounts = new HashMap<>();
    private Optional<MarkRow> ownUsageCaps = Optional.empty();
    private long usageCapsVersion;

    private record CachedRow(PrepaidRow row, long version) {}

    /**
     * Creates an empty cache.
     *
     * @param box name and address of this box, unique among live processes
     */
    LeaseRows(DecisionLog log, String box) {
        this.log = log;
        this.ownUsageCapsKey = new RowKey(USAGE_CAPS, "", box);
    }

    /** Caches a row that was read. Ignores usage caps of other boxes. */
    void cacheRow(StoredRow row) {
        if (row.key().table().equals(ACCOUNTS)) {
            cacheAccount(row);
        } else if (row.key().equals(ownUsageCapsKey)) {
            usageCapsVersion = row.version();
            ownUsageCaps = PrepaidRowCodec.readUsageCaps(row.value());
        }
    }

    private void cacheAccount(StoredRow row) {
        Optional<PrepaidRow> read = PrepaidRowCodec.read(row.value());
        if (read.isPresent()) {
            accounts.put(row.key().key(), new CachedRow(read.get(), row.version()));
        } else {
            log.line("row_unreadable", "key", row.key().key(), "version", row.version());
        }
    }

    /** Returns the row of an account, or an empty row if there is none. */
    PrepaidRow account(String name) {
        return cached(name).row();
    }

    /** Returns the accounts that have rows. */
    List<String> accounts() {
        return List.copyOf(accounts.keySet());
    }

    /** Returns the usage caps in the row of this box. */
    Optional<MarkRow> usageCaps() {
        return ownUsageCaps;
    }

    /** Returns a change of an account's row that is conditional on the cached version. */
    RowChange accountChange(String name, PrepaidRow changed) {
        return new RowChange(new RowKey(ACCOUNTS, "", name), cached(name).version(), PrepaidRowCodec.write(changed));
    }

    /** Returns a change of this box's usage caps that is conditional on the cached version. */
    RowChange usageCapsChange(MarkRow usageCaps) {
        return new RowChange(ownUsageCapsKey, usageCapsVersion, PrepaidRowCodec.writeUsageCaps(usageCaps));
    }

    /** Returns the accounts whose version in the given rows differs from the cached one. */
    List<String> outdated(List<StoredRow> current) {
        return current.stream()
                .filter(row -> row.key().table().equals(ACCOUNTS))
                .filter(row -> row.version() != cached(row.key().key()).version())
                .map(row -> row.key().key())
                .toList();
    }

    /** Caches the rows of a committed write. */
    void cacheWritten(Map<String, PrepaidRow> changed, MarkRow usageCaps, long version) {
        changed.forEach((name, row) -> accounts.put(name, new CachedRow(row, version)));
        ownUsageCaps = Optional.of(usageCaps);
        usageCapsVersion = version;
    }

    /** Caches all rows of one list call. */
    void cacheRows(List<StoredRow> rows) {
        new ArrayList<>(rows).forEach(this::cacheRow);
    }

    private CachedRow cached(String name) {
        return accounts.getOrDefault(name, new CachedRow(PrepaidRow.EMPTY, 0));
    }
}
