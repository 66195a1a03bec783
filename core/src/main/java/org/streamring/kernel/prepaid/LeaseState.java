package org.streamring.kernel.prepaid;

/**
 * Snapshot of the lease that an incarnation holds on an account. All amounts are in tokens. All but {@code waiting} are
 * totals since the start of the incarnation.
 *
 * @param granted tokens that the store holds for it under every possible outcome of the writes in progress
 * @param used tokens spent, reserved or lent, minus the tokens borrowed
 * @param usable tokens that it may use now
 * @param usableOnceRecorded tokens that it may use once witnesses have recorded them
 * @param waiting tokens that requests and other entries wait for
 */
public record LeaseState(long granted, long used, long usable, long usableOnceRecorded, long waiting) {}
