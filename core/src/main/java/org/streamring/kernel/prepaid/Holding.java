package org.streamring.kernel.prepaid;

/**
 * What one incarnation of an entry holds of an account's prepaid tokens.
 *
 * @param granted tokens that it may have spent in all; counted as used until it gives them back
 * @param spent tokens that it had spent or reserved when it last wrote
 */
public record Holding(long granted, long spent) {}
