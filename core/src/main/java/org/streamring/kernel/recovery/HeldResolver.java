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

/**
 * Builds the transactions that settle held tokens once an unreachable sidecar answers or an operator decides how many
 * of them were spent.
 */
public final class HeldResolver {
    private final String resolver;

    /**
     * Creates a resolver.
     *
     * @param resolver name of the resolving process, used in the transaction identifiers
     */
    public HeldResolver(String resolver) {
        this.resolver = resolver;
    }

    /**
     * Transaction that settles a held row, and the items that it bills.
     *
     * @param transaction transaction to apply
     * @param items items to write as a bill batch before the transaction is applied
     */
    public record Resolution(Transaction transaction, List<BillItem> items) {
        /** Creates a resolution with a copy of the list. */
        public Resolution {
            items = List.copyOf(items);
        }
    }

    /**
     * Builds the transaction that settles a held row with the answer of a sidecar that was unreachable before.
     *
     * @param heldRow row of the held tokens
     * @param answer final receipts of the sidecar for the lease
     * @param billed attempts that were already billed and are not billed again, such as one that was sent to two
     *     sidecars
     */
    public Resolution settleWithReceipts(Row heldRow, PeerReceipts answer, Set<String> billed, long nowMillis) {
        HeldRecord record = RowText.read(heldRow.text(), HeldRecord.class);
        List<BillItem> items = answer.receipts().stream()
                .filter(receipt -> receipt.leaseId().equals(record.leaseId()))
                .filter(receipt -> record.covers(receipt.attempt()) && !billed.contains(receipt.attempt()))
                .map(receipt -> BillItem.of(receipt, answer.peer(), nowMillis))
                .toList();
        long spent = Math.min(
                heldRow.amount(), items.stream().mapToLong(BillItem::tokens).sum());
        List<String> unanswered = new ArrayList<>(record.waitingFor());
        unanswered.remove(answer.peer());
        List<RowOperation> operations = new ArrayList<>();
        long remainder = heldRow.amount() - spent;
        if (unanswered.isEmpty()) {
            operations.add(new Delete(heldRow.key(), heldRow.version()));
            addSums(operations, record.budget(), heldRow.amount(), spent, remainder);
        } else {
            HeldRecord reducedRecord = new HeldRecord(record.budget(), record.leaseId(), record.attempts(), unanswered);
            operations.add(new Update(heldRow.key(), heldRow.version(), remainder, RowText.write(reducedRecord)));
            addSums(operations, record.budget(), spent, spent, 0);
        }
        return new Resolution(new Transaction(id(heldRow), operations), items);
    }

    /**
     * Builds the operations that settle a held row by decision of an operator.
     *
     * @param spent number of held tokens that count as spent; the others are returned to the budget
     */
    public List<RowOperation> settleByDecision(Row heldRow, long spent) {
        HeldRecord record = RowText.read(heldRow.text(), HeldRecord.class);
        List<RowOperation> operations = new ArrayList<>();
        operations.add(new Delete(heldRow.key(), heldRow.version()));
        addSums(operations, record.budget(), heldRow.amount(), spent, heldRow.amount() - spent);
        return operations;
    }

    private static void addSums(
            List<RowOperation> operations, String budget, long released, long spent, long returned) {
        LeaseCloser.addUnlessZero(operations, RowKeys.held(budget), -released);
        LeaseCloser.addUnlessZero(operations, RowKeys.settled(budget), spent);
        LeaseCloser.addUnlessZero(operations, RowKeys.remaining(budget), returned);
    }

    private String id(Row heldRow) {
        return resolver + ":held:" + heldRow.key() + "@" + heldRow.version();
    }

    /** Returns whether the attempts of all receipts that concern a held row have ended. */
    public static boolean isFinal(Row heldRow, List<Receipt> receipts) {
        HeldRecord record = RowText.read(heldRow.text(), HeldRecord.class);
        return receipts.stream()
                .filter(receipt -> receipt.leaseId().equals(record.leaseId()))
                .filter(receipt -> record.covers(receipt.attempt()))
                .allMatch(Receipt::ended);
    }
}
