package org.streamring.kernel.table;

import java.util.List;
import java.util.Optional;

/** What the table answered to a transaction. */
public sealed interface TransactionResult {
    /**
     * Everything took effect.
     *
     * @param rows the rows as written; a deleted row is left out
     */
    record Committed(List<Row> rows) implements TransactionResult {
        /** Finds a written row. */
        public Optional<Row> row(String key) {
            return rows.stream().filter(row -> row.key().equals(key)).findFirst();
        }
    }

    /**
     * Nothing took effect.
     *
     * @param failures the operations whose condition did not hold
     */
    record Rejected(List<Failure> failures) implements TransactionResult {
        /** Finds the failure on a row. */
        public Optional<Failure> on(String key) {
            return failures.stream()
                    .filter(failure -> failure.key().equals(key))
                    .findFirst();
        }
    }

    /**
     * A condition that did not hold.
     *
     * @param key row concerned
     * @param current the row as it is; empty if absent
     */
    record Failure(String key, Optional<Row> current) {}
}
