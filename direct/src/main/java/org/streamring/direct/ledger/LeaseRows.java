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

/** The rows of leases as last read or written, and their form in the store. Confined to the event loop. */
final class LeaseRows {
    static final String ACCOUNTS = "streamring-prepaid";
    static final String MARKS = "streamring-marks";

    private final DecisionLog log;
    private final RowKey ownMarks;
    private final Map<String, Known> accounts = new HashMap<>();
    private Optional<MarkRow> predecessor = Optional.empty();
    private long marksVersion;

    private record Known(PrepaidRow row, long version) {}

    /**
     * Creates an empty cache.
     *
     * @param box name and address of this box; no two live processes share one
     */
    LeaseRows(DecisionLog log, String box) {
        this.log = log;
        this.ownMarks = new RowKey(MARKS, "", box);
    }

    /** Takes a row that was read; rows of other boxes' marks are passed over. */
    void take(StoredRow row) {
        if (row.key().table().equals(ACCOUNTS)) {
            takeAccount(row);
        } else if (row.key().equals(ownMarks)) {
            marksVersion = row.version();
            predecessor = PrepaidRowCodec.readMarks(row.value());
        }
    }

    private void takeAccount(StoredRow row) {
        Optional<PrepaidRow> read = PrepaidRowCodec.read(row.value());
        if (read.isPresent()) {
            accounts.put(row.key().key(), new Known(read.get(), row.version()));
        } else {
            log.line("row_unreadable", "key", row.key().key(), "version", row.version());
        }
    }

    /** An account's row; an empty one if there is none. */
    PrepaidRow account(String name) {
        return known(name).row();
    }

    /** Accounts that have rows. */
    List<String> accounts() {
        return List.copyOf(accounts.keySet());
    }

    /** Marks that stand in this box's row. */
    Optional<MarkRow> marks() {
        return predecessor;
    }

    /** A change of an account's row, on condition that it is as known. */
    RowChange accountChange(String name, PrepaidRow changed) {
        return new RowChange(new RowKey(ACCOUNTS, "", name), known(name).version(), PrepaidRowCodec.write(changed));
    }

    /** A change of this box's marks, on condition that they are as known. */
    RowChange marksChange(MarkRow marks) {
        return new RowChange(ownMarks, marksVersion, PrepaidRowCodec.writeMarks(marks));
    }

    /** Accounts whose rows are not as known, among rows that were just read. */
    List<String> outdated(List<StoredRow> current) {
        return current.stream()
                .filter(row -> row.key().table().equals(ACCOUNTS))
                .filter(row -> row.version() != known(row.key().key()).version())
                .map(row -> row.key().key())
                .toList();
    }

    /** Takes what was written. */
    void written(Map<String, PrepaidRow> changed, MarkRow marks, long version) {
        changed.forEach((name, row) -> accounts.put(name, new Known(row, version)));
        predecessor = Optional.of(marks);
        marksVersion = version;
    }

    /** Rows that a list read as one. */
    void takeAll(List<StoredRow> rows) {
        new ArrayList<>(rows).forEach(this::take);
    }

    private Known known(String name) {
        return accounts.getOrDefault(name, new Known(PrepaidRow.EMPTY, 0));
    }
}
