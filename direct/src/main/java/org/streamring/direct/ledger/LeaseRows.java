package org.streamring.direct.ledger;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.prepaid.AccountKnowledge;
import org.streamring.kernel.prepaid.AccountKnowledge.KnownRow;
import org.streamring.kernel.prepaid.MarkRow;
import org.streamring.kernel.prepaid.PrepaidRow;
import org.streamring.kernel.store.RowChange;
import org.streamring.kernel.store.RowKey;
import org.streamring.kernel.store.RowPage;
import org.streamring.kernel.store.StorePosition;
import org.streamring.kernel.store.StoredRow;

/**
 * Cache of the lease rows as last read from or written to the store, with the changes that a restored store has lost.
 * Confined to the event loop.
 */
final class LeaseRows {
    static final String ACCOUNTS = "streamring-prepaid";
    static final String USAGE_CAPS = "streamring-marks";

    private final DecisionLog log;
    private final RowKey ownUsageCapsKey;
    private final AccountKnowledge knowledge;
    private final Map<String, CachedRow> accounts = new HashMap<>();
    private Optional<MarkRow> ownUsageCaps = Optional.empty();
    private long usageCapsVersion;

    /**
     * Row of an account.
     *
     * @param row the stored row with the changes that the store has lost
     * @param lostTokens tokens that the stored row does not count as used
     * @param isComplete whether the store has lost no change of the row
     * @param position era of the store, and version of the stored row; version 0 if there is none
     */
    private record CachedRow(PrepaidRow row, long lostTokens, boolean isComplete, StorePosition position) {
        private static final CachedRow NONE = new CachedRow(PrepaidRow.EMPTY, 0, true, StorePosition.withoutEra(0));
    }

    /**
     * Creates an empty cache.
     *
     * @param box name and address of this box, unique among live processes
     * @param knowledge receives each row that is cached, and completes rows that are read
     */
    LeaseRows(DecisionLog log, String box, AccountKnowledge knowledge) {
        this.log = log;
        this.ownUsageCapsKey = new RowKey(USAGE_CAPS, "", box);
        this.knowledge = knowledge;
    }

    private void cacheAccount(StoredRow row, long era) {
        Optional<PrepaidRow> read = PrepaidRowCodec.read(row.value());
        if (read.isPresent()) {
            cacheAccount(row.key().key(), read.get(), new StorePosition(era, row.version()));
        } else {
            log.line("row_unreadable", "key", row.key().key(), "version", row.version());
        }
    }

    private void cacheAccount(String name, PrepaidRow read, StorePosition position) {
        PrepaidRow complete = knowledge.complete(name, read, position);
        boolean isComplete = complete.equals(read);
        accounts.put(name, new CachedRow(complete, complete.used() - read.used(), isComplete, position));
        if (isComplete) {
            knowledge.addRow(name, new KnownRow(position, read));
        }
    }

    private void cacheMissingAccount(String name, long era) {
        cacheAccount(name, PrepaidRow.EMPTY, new StorePosition(era, 0));
    }

    private void cacheUsageCaps(Optional<StoredRow> row) {
        usageCapsVersion = row.map(StoredRow::version).orElse(0L);
        ownUsageCaps = row.map(StoredRow::value).flatMap(PrepaidRowCodec::readUsageCaps);
    }

    /** Returns the row of an account, or an empty row if there is none. */
    PrepaidRow account(String name) {
        return cached(name).row();
    }

    /** Returns whether the store has lost changes of an account's row, so that the row has to be written again. */
    boolean hasLostChanges(String name) {
        return !cached(name).isComplete();
    }

    /** Returns whether there are rows, and all of them were derived from rows read in this era. */
    boolean allWrittenIn(long era) {
        return !accounts.isEmpty()
                && accounts.values().stream()
                        .allMatch(each -> each.row().basis().era() == era);
    }

    /** Returns the tokens of all accounts that the store does not count as used because it has lost changes. */
    long lostTokens() {
        return accounts.values().stream().mapToLong(CachedRow::lostTokens).sum();
    }

    /** Returns the usage caps in the row of this box. */
    Optional<MarkRow> usageCaps() {
        return ownUsageCaps;
    }

    /** Returns a change of an account's row that is conditional on the cached version. */
    RowChange accountChange(String name, PrepaidRow changed) {
        StorePosition position = cached(name).position();
        String value = PrepaidRowCodec.write(changed.basedOn(position));
        return new RowChange(new RowKey(ACCOUNTS, "", name), position.version(), value);
    }

    /** Returns a change of this box's usage caps that is conditional on the cached version. */
    RowChange usageCapsChange(MarkRow usageCaps) {
        return new RowChange(ownUsageCapsKey, usageCapsVersion, PrepaidRowCodec.writeUsageCaps(usageCaps));
    }

    /** Returns the accounts whose version in the given rows differs from the cached one. */
    List<String> outdated(List<StoredRow> current) {
        return current.stream()
                .filter(row -> row.key().table().equals(ACCOUNTS))
                .filter(row ->
                        row.version() != cached(row.key().key()).position().version())
                .map(row -> row.key().key())
                .toList();
    }

    /** Caches the rows of a committed write. */
    void cacheWritten(Map<String, PrepaidRow> changed, MarkRow usageCaps, StorePosition position) {
        changed.forEach((name, row) -> {
            PrepaidRow written = row.basedOn(cached(name).position());
            accounts.put(name, new CachedRow(written, 0, true, position));
            knowledge.addRow(name, new KnownRow(position, written));
        });
        ownUsageCaps = Optional.of(usageCaps);
        usageCapsVersion = position.version();
    }

    /** Caches all rows of both tables; accounts that are known but not listed have no row. */
    void cacheTables(RowPage accountPage, RowPage usageCapsPage) {
        Set<String> known = new HashSet<>(accounts.keySet());
        known.addAll(knowledge.rows().keySet());
        cacheAccounts(known, accountPage.rows(), accountPage.position().era());
        cacheUsageCaps(ownUsageCapsIn(usageCapsPage.rows()));
    }

    /**
     * Caches the current rows of a write that conflicted. A row that the write expected and that is not among them does
     * not exist, for instance because the store was restored from an older copy.
     *
     * @param written accounts whose rows the write would have changed
     */
    void cacheConflict(Collection<String> written, List<StoredRow> current, long era) {
        cacheAccounts(written, current, era);
        cacheUsageCaps(ownUsageCapsIn(current));
    }

    private void cacheAccounts(Collection<String> names, List<StoredRow> rows, long era) {
        Map<String, StoredRow> byName = rows.stream()
                .filter(row -> row.key().table().equals(ACCOUNTS))
                .collect(Collectors.toMap(row -> row.key().key(), row -> row));
        byName.values().forEach(row -> cacheAccount(row, era));
        names.stream().filter(name -> !byName.containsKey(name)).forEach(name -> cacheMissingAccount(name, era));
    }

    private Optional<StoredRow> ownUsageCapsIn(List<StoredRow> rows) {
        return rows.stream().filter(row -> row.key().equals(ownUsageCapsKey)).findFirst();
    }

    private CachedRow cached(String name) {
        return accounts.getOrDefault(name, CachedRow.NONE);
    }
}
