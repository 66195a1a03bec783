package org.streamring.kernel.store;

/**
 * A row as the store holds it.
 *
 * @param key where it lies
 * @param value its bytes as text; empty if it was removed
 * @param version rises with every change
 * @param removed whether it was removed
 */
public record StoredRow(RowKey key, String value, long version, boolean removed) {}
