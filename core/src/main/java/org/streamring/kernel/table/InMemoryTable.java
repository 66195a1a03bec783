package org.streamring.kernel.table;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.streamring.kernel.table.RowOperation.Add;
import org.streamring.kernel.table.RowOperation.Delete;
import org.streamring.kernel.table.RowOperation.Insert;
import org.streamring.kernel.table.RowOperation.Update;
import org.streamring.kernel.table.TransactionResult.Committed;
import org.streamring.kernel.table.TransactionResult.Failure;
import org.streamring.kernel.table.TransactionResult.Rejected;

/**
 * In-memory implementation of {@link PlatformTable} for the simulated platform and for tests. Not persistent, and not
 * used in production.
 */
public final class InMemoryTable implements PlatformTable {
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private long version;
    private long transactions;
    private long reads;

    @Override
    public synchronized TransactionResult transact(Transaction transaction) {
        validate(transaction);
        transactions++;
        List<Failure> failures = new ArrayList<>();
        for (RowOperation operation : transaction.operations()) {
            @Nullable Row current = rows.get(operation.key());
            if (!conditionHolds(operation, current)) {
                failures.add(new Failure(operation.key(), Optional.ofNullable(current)));
            }
        }
        if (!failures.isEmpty()) {
            return new Rejected(List.copyOf(failures));
        }
        version++;
        List<Row> written = new ArrayList<>();
        for (RowOperation operation : transaction.operations()) {
            apply(operation).ifPresent(written::add);
        }
        return new Committed(List.copyOf(written));
    }

    private static void validate(Transaction transaction) {
        Set<String> keys = new HashSet<>();
        transaction.operations().forEach(operation -> keys.add(operation.key()));
        boolean valid = !keys.isEmpty()
                && keys.size() == transaction.operations().size()
                && keys.size() <= Transaction.MAX_OPERATIONS;
        if (!valid) {
            throw new IllegalArgumentException(
                    "a transaction has 1 to " + Transaction.MAX_OPERATIONS + " operations on different rows");
        }
    }

    private static boolean conditionHolds(RowOperation operation, @Nullable Row current) {
        if (operation instanceof Insert) {
            return current == null;
        }
        if (operation instanceof Update update) {
            return current != null && current.version() == update.expectedVersion();
        }
        if (operation instanceof Add add) {
            return current != null && current.amount() + add.delta() >= add.minimum();
        }
        return current != null && current.version() == ((Delete) operation).expectedVersion();
    }

    private Optional<Row> apply(RowOperation operation) {
        if (operation instanceof Delete) {
            rows.remove(operation.key());
            return Optional.empty();
        }
        Row row;
        if (operation instanceof Insert insert) {
            row = new Row(insert.key(), version, insert.amount(), insert.text());
        } else if (operation instanceof Update update) {
            row = new Row(update.key(), version, update.amount(), update.text());
        } else {
            Add add = (Add) operation;
            Row current = rows.get(add.key());
            row = new Row(add.key(), version, current.amount() + add.delta(), current.text());
        }
        rows.put(row.key(), row);
        return Optional.of(row);
    }

    @Override
    public synchronized List<Row> read(List<String> keys) {
        reads++;
        return keys.stream()
                .flatMap(key -> Optional.ofNullable(rows.get(key)).stream())
                .toList();
    }

    @Override
    public synchronized List<Row> scan(String prefix, String after, int limit) {
        reads++;
        String from = after.isEmpty() ? prefix : after;
        return rows.tailMap(from, after.isEmpty()).values().stream()
                .takeWhile(row -> row.key().startsWith(prefix))
                .limit(limit)
                .toList();
    }

    /** Returns the number of transactions so far. */
    public synchronized long transactions() {
        return transactions;
    }

    /** Returns the number of reads and scans so far. */
    public synchronized long reads() {
        return reads;
    }
}
