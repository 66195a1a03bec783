package org.streamring.kernel.recovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.streamring.kernel.ledger.BillItem;
import org.streamring.kernel.ledger.EntryRecord;
import org.streamring.kernel.ledger.HeldRecord;
import org.streamring.kernel.ledger.LeaseRecord;
import org.streamring.kernel.ledger.PeersRecord;
import org.streamring.kernel.table.Row;
import org.streamring.kernel.table.RowKeys;
import org.streamring.kernel.table.RowOperation;
import org.streamring.kernel.table.RowOperation.Add;
import org.streamring.kernel.table.RowOperation.Delete;
import org.streamring.kernel.table.RowOperation.Insert;
import org.streamring.kernel.table.RowOperation.Update;
import org.streamring.kernel.table.RowText;
import org.streamring.kernel.table.Transaction;

/**
 * Builds the transactions that close another entry's leases. Each is built from rows as just read, and is conditional
 * on them; whoever finds that it was rejected or lost reads again and goes on. So two closers, a lost answer or a late
 * write settle every lease exactly once.
 *
 * <p>Order: {@link #markClosing} stops the holder's writes. Then every sidecar that the entry's row of peers names is
 * fenced and
 * asked for receipts. Then {@link #settle} counts each lease: what receipts show is settled; the rest goes back if all
 * sidecars have answered, and is held otherwise, because a silent sidecar may have spent it. Last, {@link #finish}
 * removes the entry's row.
 */
public final class LeaseCloser {
    /** Most leases that one transaction settles: each needs up to five operations. */
    public static final int MAX_LEASES = 19;

    private final String closer;

    /**
     * Creates one.
     *
     * @param closer incarnation of the entry that closes
     */
    public LeaseCloser(String closer) {
        this.closer = closer;
    }

    /** Incarnation that a row of an entry belongs to. */
    public static String incarnationOf(Row entryRow) {
        return entryRow.key().substring(RowKeys.ENTRIES.length());
    }

    /** Stops the holder's writes, or takes over from another closer. */
    public Transaction markClosing(Row entryRow) {
        EntryRecord record = RowText.read(entryRow.text(), EntryRecord.class);
        return new Transaction(id(entryRow, "mark"), List.of(replaceEntryRow(entryRow, record.closedBy(closer))));
    }

    /** Whether this closer owns the closing. */
    public boolean owns(Row entryRow) {
        EntryRecord record = RowText.read(entryRow.text(), EntryRecord.class);
        return record.state() == EntryRecord.State.CLOSING && record.closer().equals(closer);
    }

    /** Sidecars that may hold receipts, as the row of the entry's peers names them. */
    public static List<String> peersOf(Row peersRow) {
        return RowText.read(peersRow.text(), PeersRecord.class).peers();
    }

    /**
     * A settling transaction and the items that it bills.
     *
     * @param transaction what to apply
     * @param items what to write as a bill batch before it
     * @param held tokens that it holds
     */
    public record Settlement(Transaction transaction, List<BillItem> items, long held) {
        /** Copies the list. */
        public Settlement {
            items = List.copyOf(items);
        }
    }

    /**
     * What a closer has found out about an entry.
     *
     * @param peers sidecars that may hold receipts
     * @param answers final answers of those that answered
     * @param known items that the holder had written before it died and that are not settled
     */
    public record Findings(List<String> peers, List<PeerReceipts> answers, List<BillItem> known) {
        /** Copies the lists. */
        public Findings {
            peers = List.copyOf(peers);
            answers = List.copyOf(answers);
            known = List.copyOf(known);
        }

        private List<String> silent() {
            Set<String> silent = new TreeSet<>(peers);
            answers.forEach(answer -> silent.remove(answer.peer()));
            return List.copyOf(silent);
        }
    }

    /**
     * Settles leases.
     *
     * @param entryRow the entry's row, marked by this closer
     * @param leaseRows rows of at most {@value #MAX_LEASES} leases
     */
    public Settlement settle(Row entryRow, List<Row> leaseRows, Findings findings, long nowMillis) {
        Map<String, BillItem> items = new HashMap<>();
        Map<String, Long> sums = new LinkedHashMap<>();
        List<RowOperation> operations = new ArrayList<>();
        operations.add(replaceEntryRow(entryRow, RowText.read(entryRow.text(), EntryRecord.class)));
        long heldInAll = 0;
        for (Row leaseRow : leaseRows) {
            String leaseId = leaseIdOf(leaseRow);
            String budget = RowText.read(leaseRow.text(), LeaseRecord.class).budget();
            Map<String, BillItem> own = itemsOf(leaseId, findings, nowMillis);
            items.putAll(own);
            long spent = own.values().stream().mapToLong(BillItem::tokens).sum();
            long rest = Math.max(0, leaseRow.amount() - spent);
            long held = findings.silent().isEmpty() ? 0 : rest;
            operations.add(new Delete(leaseRow.key(), leaseRow.version()));
            if (held > 0) {
                HeldRecord record = new HeldRecord(budget, leaseId, List.of(), findings.silent());
                operations.add(new Insert(RowKeys.heldRemainder(leaseId, "rest"), held, RowText.write(record)));
            }
            sums.merge(RowKeys.settled(budget), spent, Long::sum);
            sums.merge(RowKeys.remaining(budget), rest - held, Long::sum);
            sums.merge(RowKeys.held(budget), held, Long::sum);
            heldInAll += held;
        }
        sums.forEach((key, delta) -> addUnlessZero(operations, key, delta));
        Transaction transaction = new Transaction(id(entryRow, "settle"), operations);
        return new Settlement(transaction, List.copyOf(items.values()), heldInAll);
    }

    /** Identifier of the lease that a row stands for. */
    public static String leaseIdOf(Row leaseRow) {
        return leaseRow.key().substring(RowKeys.lease("").length());
    }

    private static Map<String, BillItem> itemsOf(String leaseId, Findings findings, long nowMillis) {
        Map<String, BillItem> items = new HashMap<>();
        findings.known().stream()
                .filter(item -> item.lease().equals(leaseId))
                .forEach(item -> items.put(item.attempt(), item));
        for (PeerReceipts answer : findings.answers()) {
            answer.receipts().stream()
                    .filter(receipt -> receipt.leaseId().equals(leaseId))
                    .map(receipt -> BillItem.of(receipt, answer.peer(), nowMillis))
                    .forEach(item -> items.merge(item.attempt(), item, LeaseCloser::larger));
        }
        return items;
    }

    /** An attempt that was tried on two sidecars is billed once. */
    private static BillItem larger(BillItem one, BillItem other) {
        return one.tokens() >= other.tokens() ? one : other;
    }

    /** Removes the entry's rows once no lease is left. */
    public Transaction finish(Row entryRow, Row peersRow) {
        return new Transaction(
                id(entryRow, "finish"),
                List.of(
                        new Delete(entryRow.key(), entryRow.version()),
                        new Delete(peersRow.key(), peersRow.version())));
    }

    private RowOperation replaceEntryRow(Row entryRow, EntryRecord record) {
        return new Update(entryRow.key(), entryRow.version(), entryRow.amount(), RowText.write(record));
    }

    private String id(Row entryRow, String step) {
        return closer + ":close:" + step + "@" + entryRow.version();
    }

    static void addUnlessZero(List<RowOperation> operations, String key, long delta) {
        if (delta != 0) {
            operations.add(new Add(key, delta, 0));
        }
    }
}
