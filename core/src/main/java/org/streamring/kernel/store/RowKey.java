package org.streamring.kernel.store;

/**
 * Where a row lies.
 *
 * @param table name of the table
 * @param partition partition of the table; a transaction stays within one
 * @param key key within the partition
 */
public record RowKey(String table, String partition, String key) {}
