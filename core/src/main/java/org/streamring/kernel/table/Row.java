package org.streamring.kernel.table;

/**
 * Row of the platform's table.
 *
 * @param key unique key; parts are separated by {@code /}
 * @param version version, which changes with every write of the row and is never reused
 * @param amount numeric value of the row, such as a number of tokens
 * @param text text value of the row, usually JSON
 */
public record Row(String key, long version, long amount, String text) {}
