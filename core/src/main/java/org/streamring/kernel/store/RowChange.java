package org.streamring.kernel.store;

/**
 * Conditional write of a row.
 *
 * @param key key of the row
 * @param expectedVersion version that the row must have; 0 if it must not exist
 * @param value new value of the row
 */
public record RowChange(RowKey key, long expectedVersion, String value) {}
