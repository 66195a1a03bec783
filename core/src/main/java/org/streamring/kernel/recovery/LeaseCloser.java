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
 * Builds the transactions that close the leases of another entry. Each transaction is built from rows that were just
 * read and is conditional on their versions. If it is rejected or its answer is lost, the caller reads the rows again
 * and continues. So every lease is settled exactly once, even with two concurrent closers, a lost answer or a delayed
 * write.
 *
 * <p>The steps in order: {@link #markClosing} stops the writes of the entry that holds the leases. Then the caller
 * sends a fence request to every sidecar listed in the entry's peers row and collects the receipts. Then
 * {@link #settle} settles the tokens of each lease that the receipts show as spent. The remainder is returned to the
 * budget if all sidecars have answered. Otherwise it is held, because an unreachable sidecar may have spent it.
 * Finally, {@link #finish} removes the entry's rows.
 */
public final class LeaseCloser {
    /** Maximum number of leases that one transaction settles; each needs up to five operations. */
    public static final int MAX_LEASES = 19;

    private final String closer;

    /**
     * Creates a closer.
     *
     * @param closer incarnation of the entry that closes the leases
     */
    public LeaseCloser(String closer) {
        this.closer = closer;
    }

    /** Returns the incarnation that an entry's row belongs to. */
    public static String incarnationOf(Row entryRow) {
        return entryRow.key().substring(RowKeys.ENTRIES.length());
    }

    /** Builds the transaction that stops the holder's writes, or that takes over from another closer. */
    public Transaction markClosing(Row entryRow) {
        EntryRecord record = RowText.read(entryRow.text(), EntryRecord.class);
        return new Transaction(id(entryRow, "mark"), List.of(replaceEntryRow(entryRow, record.closedBy(closer))));
    }

    /** Returns whether the entry's row is marked as being closed by this closer. */
    public boolean owns(Row entryRow) {
        EntryRecord record = RowText.read(entryRow.text(), EntryRecord.class);
        return record.state() == EntryRecord.State.CLOSING && record.closer().equals(closer);
    }

    /** Returns the sidecars listed in the entry's peers row, which may hold receipts. */
    public static List<String> peersOf(Row peersRow) {
        return RowText.read(peersRow.text(), PeersRecord.class).peers();
    }

    /**
     * Transaction that settles leases, and the items that it bills.
     *
     * @param transaction transaction to apply
     * @param items items to write as a bill batch before the transaction is applied
     * @param held tokens that the transaction moves to held rows
     */
    public record Settlement(Transaction transaction, List<BillItem> items, long held) {
        /** Creates a settlement with a copy of the list. */
        public Settlement {
            items = List.copyOf(items);
        }
    }

    /**
     * Receipts and bill items that a closer has collected about an entry.
     *
     * @param peers sidecars that may hold receipts
     * @param answers final answers of the sidecars that answered
     * @param unsettledItems items that the holder wrote before it died and that are not settled yet
     */
    public record CollectedReceipts(List<String> peers, List<PeerReceipts> answers, List<BillItem> unsettledItems) {
        /** Creates findings with copies of the lists. */
        public CollectedReceipts {
            peers = List.copyOf(peers);
            answers = List.copyOf(answers);
            unsettledItems = List.copyOf(unsettledItems);
        }

        private List<String> silent() {
            Set<String> silent = new TreeSet<>(peers);
            answers.forEach(answer -> silent.remove(answer.peer()));
            return List.copyOf(silent);
        }
    }

    /**
     * Builds the transaction that settles leases.
     *
     * @param entryRow the entry's row, marked as being closed by this closer
     * @param leaseRows rows of at most {@value #MAX_LEASES} leases
     */
    public Settlement settle(Row entryRow, List<Row> leaseRows, CollectedReceipts collected, long nowMillis) {
        Map<String, BillItem> items = new HashMap<>();
        Map<String, Long> budgetDeltas = new LinkedHashMap<>();
        List<RowOperation> operations = new ArrayList<>();
        operations.add(replaceEntryRow(entryRow, RowText.read(entryRow.text(), EntryRecord.class)));
        long totalHeld = 0;
        for (Row leaseRow : leaseRows) {
            String leaseId = leaseIdOf(leaseRow);
            String budget = RowText.read(leaseRow.text(), LeaseRecord.class).budget();
            Map<String, BillItem> leaseItems = itemsOf(leaseId, collected, nowMillis);
            items.putAll(leaseItems);
            long spent =
                    leaseItems.values().stream().mapToLong(BillItem::tokens).sum();
            long rest = Math.max(0, leaseRow.amount() - spent);
            long held = collected.silent().isEmpty() ? 0 : rest;
            operations.add(new Delete(leaseRow.key(), leaseRow.version()));
            if (held > 0) {
                HeldRecord record = new HeldRecord(budget, leaseId, List.of(), collected.silent());
                operations.add(new Insert(RowKeys.heldRemainder(leaseId, "rest"), held, RowText.write(record)));
            }
            budgetDeltas.merge(RowKeys.settled(budget), spent, Long::sum);
            budgetDeltas.merge(RowKeys.remaining(budget), rest - held, Long::sum);
            budgetDeltas.merge(RowKeys.held(budget), held, Long::sum);
            totalHeld += held;
        }
        budgetDeltas.forEach((key, delta) -> addUnlessZero(operations, key, delta));
        Transaction transaction = new Transaction(id(entryRow, "settle"), operations);
        return new Settlement(transaction, List.copyOf(items.values()), totalHeld);
    }

    /** Returns the identifier of a row's lease. */
    public static String leaseIdOf(Row leaseRow) {
        return leaseRow.key().substring(RowKeys.lease("").length());
    }

    private static Map<String, BillItem> itemsOf(String leaseId, CollectedReceipts collected, long nowMillis) {
        Map<String, BillItem> items = new HashMap<>();
        collected.unsettledItems().stream()
                .filter(item -> item.lease().equals(leaseId))
                .forEach(item -> items.put(item.attempt(), item));
        for (PeerReceipts answer : collected.answers()) {
            answer.receipts().stream()
                    .filter(receipt -> receipt.leaseId().equals(leaseId))
                    .map(receipt -> BillItem.of(receipt, answer.peer(), nowMillis))
                    .forEach(item -> items.merge(item.attempt(), item, LeaseCloser::larger));
        }
        return items;
    }

    /** Returns the item with more tokens, because an attempt that was sent to two sidecars is billed once. */
    private static BillItem larger(BillItem one, BillItem other) {
        return one.tokens() >= other.tokens() ? one : other;
    }

    /** Builds the transaction that removes the entry's rows after all its leases are settled. */
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
