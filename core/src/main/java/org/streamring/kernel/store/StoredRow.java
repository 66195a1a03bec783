package org.streamring.kernel.store;

/**
 * Row as kept in the store.
 *
 * @param key key of the row
 * @param value value as text; empty if the row was removed
 * @param version version, which increases with every change
 * @param removed whether the row was removed
 */
public record StoredRow(RowKey key, String value, long version, boolean removed) {}
