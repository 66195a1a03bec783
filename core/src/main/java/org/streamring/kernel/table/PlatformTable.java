package org.streamring.kernel.table;

import java.util.List;

/** The platform's transactional table service. */
public interface PlatformTable {
    /**
     * Applies a transaction.
     *
     * @throws PlatformException if no valid answer was received; the transaction may have taken effect or may still
     *     take effect
     */
    TransactionResult transact(Transaction transaction) throws PlatformException;

    /** Reads rows by key in one consistent read; missing rows are left out. */
    List<Row> read(List<String> keys) throws PlatformException;

    /** Reads at most {@code limit} rows with the given prefix and a key greater than {@code after}, in key order. */
    List<Row> scan(String prefix, String after, int limit) throws PlatformException;
}
