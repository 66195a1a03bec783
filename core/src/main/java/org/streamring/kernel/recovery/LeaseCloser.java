package org.streamring.kernel.recovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.streamring.kernel.ledger.BillItem;
import org.streamring.kernel.ledger.EntryRecord;
import org.streamring.kernel.ledger.HeldRecord;
import org.streamring.kernel.ledger.LeaseRecord;
import org.streamring.kernel.receipt.Receipt;
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
 * <p>Order: {@link #markClosing} stops the holder's writes. Then every sidecar that the entry's row names is fenced and
 * asked for receipts. Then {@link #settle} counts each lease: what receipts show is settled; the rest goes back if all
 * sidecars have answered, and is held otherwise, because a silent sidecar may have spent it. Last, {@link #finish}
 * removes the entry's row.
 */
public final class LeaseCloser {
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

    /** Sidecars that may hold receipts. */
    public static List<String> peersOf(Row entryRow) {
        return RowText.read(entryRow.text(), EntryRecord.class).peers();
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
     * Settles one lease.
     *
     * @param entryRow the entry's row, marked by this closer
     * @param leaseRow the lease's row
     * @param answers final answers of the sidecars that answered
     * @param known items that the holder itself had written for this lease before it died
     */
    public Settlement settle(
            Row entryRow, Row leaseRow, List<PeerReceipts> answers, List<BillItem> known, long nowMillis) {
        String leaseId = leaseRow.key().substring(RowKeys.lease("").length());
        String budget = RowText.read(leaseRow.text(), LeaseRecord.class).budget();
        Map<String, BillItem> items = new HashMap<>();
        known.stream().filter(item -> item.lease().equals(leaseId)).forEach(item -> items.put(item.attempt(), item));
        for (PeerReceipts answer : answers) {
            answer.receipts().stream()
                    .filter(receipt -> receipt.leaseId().equals(leaseId))
                    .map(receipt -> billItem(receipt, answer.peer(), nowMillis))
                    .forEach(item -> items.merge(item.attempt(), item, LeaseCloser::larger));
        }
        long spent = items.values().stream().mapToLong(BillItem::tokens).sum();
        long rest = Math.max(0, leaseRow.amount() - spent);
        Set<String> silent = new TreeSet<>(peersOf(entryRow));
        answers.forEach(answer -> silent.remove(answer.peer()));
        long held = silent.isEmpty() ? 0 : rest;

        List<RowOperation> operations = new ArrayList<>();
        EntryRecord record = RowText.read(entryRow.text(), EntryRecord.class);
        operations.add(replaceEntryRow(entryRow, record));
        operations.add(new Delete(leaseRow.key(), leaseRow.version()));
        addUnlessZero(operations, RowKeys.settled(budget), spent);
        addUnlessZero(operations, RowKeys.remaining(budget), rest - held);
        addUnlessZero(operations, RowKeys.held(budget), held);
        if (held > 0) {
            HeldRecord heldRecord = new HeldRecord(budget, leaseId, List.of(), List.copyOf(silent));
            operations.add(new Insert(RowKeys.heldRemainder(leaseId, "rest"), held, RowText.write(heldRecord)));
        }
        Transaction transaction = new Transaction(id(entryRow, leaseId), operations);
        return new Settlement(transaction, List.copyOf(items.values()), held);
    }

    /** An attempt that was tried on two sidecars is billed once. */
    private static BillItem larger(BillItem one, BillItem other) {
        return one.tokens() >= other.tokens() ? one : other;
    }

    /** Removes the entry's row once no lease is left. */
    public Transaction finish(Row entryRow) {
        return new Transaction(id(entryRow, "finish"), List.of(new Delete(entryRow.key(), entryRow.version())));
    }

    private RowOperation replaceEntryRow(Row entryRow, EntryRecord record) {
        return new Update(entryRow.key(), entryRow.version(), entryRow.amount(), RowText.write(record));
    }

    private String id(Row entryRow, String step) {
        return closer + ":close:" + step + "@" + entryRow.version();
    }

    /** The bill item that a receipt stands for. */
    static BillItem billItem(Receipt receipt, String peer, long nowMillis) {
        return new BillItem(
                receipt.attempt(),
                receipt.requestKey(),
                receipt.account(),
                receipt.budget(),
                receipt.leaseId(),
                receipt.service(),
                peer,
                receipt.usage().promptTokens(),
                receipt.usage().answerTokens(),
                receipt.tokens(),
                nowMillis);
    }

    static void addUnlessZero(List<RowOperation> operations, String key, long delta) {
        if (delta != 0) {
            operations.add(new Add(key, delta, 0));
        }
    }
}
