package org.streamring.kernel.table;

/**
 * One row of the platform's table.
 *
 * @param key unique key; parts are separated by {@code /}
 * @param version changes with every write of the row and is never used twice
 * @param amount the row's number, such as a count of tokens
 * @param text the row's text, usually JSON
 */
public record Row(String key, long version, long amount, String text) {}
