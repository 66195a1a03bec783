package org.streamring.platform.http;

import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.streamring.kernel.table.Row;
import org.streamring.kernel.table.RowOperation;
import org.streamring.kernel.table.Transaction;
import org.streamring.kernel.table.TransactionResult;
import org.streamring.kernel.table.TransactionResult.Committed;
import org.streamring.kernel.table.TransactionResult.Failure;
import org.streamring.kernel.table.TransactionResult.Rejected;

/** JSON messages of the table service and the object store. */
public final class TableMessages {
    private TableMessages() {}

    /** Request body of a transaction. */
    public record TransactCall(String id, List<Operation> operations) {
        /** Creates the request body of a transaction. */
        public static TransactCall of(Transaction transaction) {
            return new TransactCall(
                    transaction.id(),
                    transaction.operations().stream().map(Operation::of).toList());
        }

        /** Returns the transaction of this request body. */
        public Transaction toTransaction() {
            return new Transaction(
                    id, operations.stream().map(Operation::toRowOperation).toList());
        }
    }

    /** Operation of a transaction; {@code op} determines which other fields are used. */
    public record Operation(
            String op,
            String key,
            long expectedVersion,
            long amount,
            long delta,
            long minimum,
            @Nullable String text) {
        static Operation of(RowOperation operation) {
            if (operation instanceof RowOperation.Insert insert) {
                return new Operation("insert", insert.key(), 0, insert.amount(), 0, 0, insert.text());
            }
            if (operation instanceof RowOperation.Update update) {
                return new Operation(
                        "update", update.key(), update.expectedVersion(), update.amount(), 0, 0, update.text());
            }
            if (operation instanceof RowOperation.Add add) {
                return new Operation("add", add.key(), 0, 0, add.delta(), add.minimum(), null);
            }
            RowOperation.Delete delete = (RowOperation.Delete) operation;
            return new Operation("delete", delete.key(), delete.expectedVersion(), 0, 0, 0, null);
        }

        RowOperation toRowOperation() {
            String content = text == null ? "" : text;
            return switch (op) {
                case "insert" -> new RowOperation.Insert(key, amount, content);
                case "update" -> new RowOperation.Update(key, expectedVersion, amount, content);
                case "add" -> new RowOperation.Add(key, delta, minimum);
                case "delete" -> new RowOperation.Delete(key, expectedVersion);
                default -> throw new IllegalArgumentException("unknown operation " + op);
            };
        }
    }

    /** Response to a transaction. */
    public record TransactAnswer(
            boolean committed,
            @Nullable List<Row> rows,
            @Nullable List<FailedOperation> failures) {
        /** Creates the response for the result of a transaction. */
        public static TransactAnswer of(TransactionResult result) {
            if (result instanceof Committed success) {
                return new TransactAnswer(true, success.rows(), null);
            }
            return new TransactAnswer(
                    false,
                    null,
                    ((Rejected) result)
                            .failures().stream()
                                    .map(failure -> new FailedOperation(
                                            failure.key(), failure.current().orElse(null)))
                                    .toList());
        }

        /** Returns the result of the transaction. */
        public TransactionResult toResult() {
            if (committed) {
                return new Committed(rows == null ? List.of() : rows);
            }
            List<FailedOperation> failed = failures == null ? List.of() : failures;
            return new Rejected(failed.stream()
                    .map(failure -> new Failure(failure.key(), Optional.ofNullable(failure.current())))
                    .toList());
        }
    }

    /** Operation whose condition was not met, with the current row if it exists. */
    public record FailedOperation(String key, @Nullable Row current) {}

    /** Request body of a read. */
    public record ReadCall(List<String> keys) {}

    /** Request body of a scan. */
    public record ScanCall(String prefix, String after, int limit) {}

    /** Response to a read or scan. */
    public record RowsAnswer(List<Row> rows) {}

    /** Response to a list request of the object store. */
    public record NamesAnswer(List<String> names) {}
}
