package org.streamring.kernel.table;

/** Operation of a transaction. The transaction is committed only if the conditions of all its operations hold. */
public sealed interface RowOperation {
    /** Returns the key of the row. */
    String key();

    /**
     * Creates a row; fails if it exists.
     *
     * @param key row key
     * @param amount initial amount
     * @param text initial text
     */
    record Insert(String key, long amount, String text) implements RowOperation {}

    /**
     * Replaces a row; fails unless it has the expected version.
     *
     * @param key row key
     * @param expectedVersion version that must be current
     * @param amount new amount
     * @param text new text
     */
    record Update(String key, long expectedVersion, long amount, String text) implements RowOperation {}

    /**
     * Adds to a row's amount; fails if the row does not exist or the result would be below the minimum.
     *
     * @param key row key
     * @param delta number to add; may be negative
     * @param minimum smallest result allowed
     */
    record Add(String key, long delta, long minimum) implements RowOperation {}

    /**
     * Removes a row; fails unless it has the expected version.
     *
     * @param key row key
     * @param expectedVersion version that must be current
     */
    record Delete(String key, long expectedVersion) implements RowOperation {}
}
