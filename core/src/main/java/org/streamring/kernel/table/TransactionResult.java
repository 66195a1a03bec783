package org.streamring.kernel.table;

import java.util.List;
import java.util.Optional;

/** Result of a transaction. */
public sealed interface TransactionResult {
    /**
     * All operations took effect.
     *
     * @param rows rows as written; deleted rows are left out
     */
    record Committed(List<Row> rows) implements TransactionResult {
        /** Returns the written row with the given key. */
        public Optional<Row> row(String key) {
            return rows.stream().filter(row -> row.key().equals(key)).findFirst();
        }
    }

    /**
     * No operation took effect.
     *
     * @param failures operations whose condition did not hold
     */
    record Rejected(List<Failure> failures) implements TransactionResult {
        /** Returns the failure for the row with the given key. */
        public Optional<Failure> on(String key) {
            return failures.stream()
                    .filter(failure -> failure.key().equals(key))
                    .findFirst();
        }
    }

    /**
     * Operation whose condition did not hold.
     *
     * @param key key of the row
     * @param current current row; empty if it does not exist
     */
    record Failure(String key, Optional<Row> current) {}
}
