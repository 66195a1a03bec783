package org.streamring.kernel.store;

/**
 * A row to write under a condition.
 *
 * @param key where it lies
 * @param expectedVersion version that it must have; 0 if it must not be there
 * @param value its new value
 */
public record RowChange(RowKey key, long expectedVersion, String value) {}
