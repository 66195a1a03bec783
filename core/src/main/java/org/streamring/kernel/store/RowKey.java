package org.streamring.kernel.store;

/**
 * Key of a row in the store.
 *
 * @param table name of the table
 * @param partition partition of the table; a transaction is limited to one partition
 * @param key key within the partition
 */
public record RowKey(String table, String partition, String key) {}
