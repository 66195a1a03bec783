package org.streamring.kernel.prepaid;

/**
 * Prepaid tokens of an account held by one incarnation of an entry.
 *
 * @param granted maximum number of tokens that the incarnation may have spent; counted as used until returned
 * @param spent tokens that the incarnation had spent or reserved at its last write
 */
public record Holding(long granted, long spent) {}
