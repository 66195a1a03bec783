package org.streamring.kernel.prepaid;

/**
 * What an incarnation has of an account at a moment. All amounts are in tokens and count from its start, but for the
 * last one.
 *
 * @param granted what the store holds for it, whatever becomes of the writes in progress
 * @param used what it spent, reserved or lent, less what it borrowed
 * @param usable what it may use now
 * @param usableOnceNoted what it may use once witnesses have noted it
 * @param waiting what requests and other entries wait for
 */
public record LeaseState(long granted, long used, long usable, long usableOnceNoted, long waiting) {}
