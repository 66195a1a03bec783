package org.streamring.kernel.recovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.streamring.kernel.ledger.BillItem;
import org.streamring.kernel.ledger.HeldRecord;
import org.streamring.kernel.receipt.Receipt;
import org.streamring.kernel.table.Row;
import org.streamring.kernel.table.RowKeys;
import org.streamring.kernel.table.RowOperation;
import org.streamring.kernel.table.RowOperation.Delete;
import org.streamring.kernel.table.RowOperation.Update;
import org.streamring.kernel.table.RowText;
import org.streamring.kernel.table.Transaction;

/** Builds the transactions that settle held tokens, when a missing sidecar answers or an operator decides. */
public final class HeldResolver {
    private final String resolver;

    /**
     * Creates one.
     *
     * @param resolver who resolves, part of the transaction identifiers
     */
    public HeldResolver(String resolver) {
        this.resolver = resolver;
    }

    /**
     * A resolving transaction and the items that it bills.
     *
     * @param transaction what to apply
     * @param items what to write as a bill batch before it
     */
    public record Resolution(Transaction transaction, List<BillItem> items) {
        /** Copies the list. */
        public Resolution {
            items = List.copyOf(items);
        }
    }

    /**
     * Settles what a sidecar that was waited for now answers.
     *
     * @param heldRow the held row
     * @param answer the sidecar's final receipts for the lease
     * @param billed attempts that are billed already: one that was tried on two sidecars is billed once
     */
    public Resolution onAnswer(Row heldRow, PeerReceipts answer, Set<String> billed, long nowMillis) {
        HeldRecord record = RowText.read(heldRow.text(), HeldRecord.class);
        List<BillItem> items = answer.receipts().stream()
                .filter(receipt -> receipt.leaseId().equals(record.leaseId()))
                .filter(receipt -> record.covers(receipt.attempt()) && !billed.contains(receipt.attempt()))
                .map(receipt -> BillItem.of(receipt, answer.peer(), nowMillis))
                .toList();
        long spent = Math.min(
                heldRow.amount(), items.stream().mapToLong(BillItem::tokens).sum());
        List<String> silent = new ArrayList<>(record.waitingFor());
        silent.remove(answer.peer());
        List<RowOperation> operations = new ArrayList<>();
        long rest = heldRow.amount() - spent;
        if (silent.isEmpty()) {
            operations.add(new Delete(heldRow.key(), heldRow.version()));
            addSums(operations, record.budget(), heldRow.amount(), spent, rest);
        } else {
            HeldRecord less = new HeldRecord(record.budget(), record.leaseId(), record.attempts(), silent);
            operations.add(new Update(heldRow.key(), heldRow.version(), rest, RowText.write(less)));
            addSums(operations, record.budget(), spent, spent, 0);
        }
        return new Resolution(new Transaction(id(heldRow), operations), items);
    }

    /**
     * Settles as an operator decides.
     *
     * @param spent how many of the held tokens count as spent; the others go back
     */
    public List<RowOperation> onDecision(Row heldRow, long spent) {
        HeldRecord record = RowText.read(heldRow.text(), HeldRecord.class);
        List<RowOperation> operations = new ArrayList<>();
        operations.add(new Delete(heldRow.key(), heldRow.version()));
        addSums(operations, record.budget(), heldRow.amount(), spent, heldRow.amount() - spent);
        return operations;
    }

    private static void addSums(List<RowOperation> operations, String budget, long released, long spent, long back) {
        LeaseCloser.addUnlessZero(operations, RowKeys.held(budget), -released);
        LeaseCloser.addUnlessZero(operations, RowKeys.settled(budget), spent);
        LeaseCloser.addUnlessZero(operations, RowKeys.remaining(budget), back);
    }

    private String id(Row heldRow) {
        return resolver + ":held:" + heldRow.key() + "@" + heldRow.version();
    }

    /** Whether every receipt of an answer that matters to a held row has ended. */
    public static boolean isFinal(Row heldRow, List<Receipt> receipts) {
        HeldRecord record = RowText.read(heldRow.text(), HeldRecord.class);
        return receipts.stream()
                .filter(receipt -> receipt.leaseId().equals(record.leaseId()))
                .filter(receipt -> record.covers(receipt.attempt()))
                .allMatch(Receipt::ended);
    }
}
