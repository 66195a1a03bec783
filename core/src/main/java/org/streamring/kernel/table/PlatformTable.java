package org.streamring.kernel.table;

import java.util.List;

/** The platform's transactional table service. */
public interface PlatformTable {
    /**
     * Applies a transaction.
     *
     * @throws PlatformException if no answer came; the transaction may have taken effect or may still do so
     */
    TransactionResult transact(Transaction transaction) throws PlatformException;

    /** Reads rows by key in one consistent read; absent rows are left out. */
    List<Row> read(List<String> keys) throws PlatformException;

    /** Reads, in key order, at most {@code limit} rows with this prefix and a key greater than {@code after}. */
    List<Row> scan(String prefix, String after, int limit) throws PlatformException;
}
