package org.streamring.kernel.table;

/** One step of a transaction; the transaction commits only if every step's condition holds. */
public sealed interface RowOperation {
    /** The row concerned. */
    String key();

    /**
     * Creates a row; fails if it exists.
     *
     * @param key row key
     * @param amount first amount
     * @param text first text
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
     * Adds to a row's amount; fails if the row is absent or the result would be below the minimum.
     *
     * @param key row key
     * @param delta what to add, which may be negative
     * @param minimum least result allowed
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
