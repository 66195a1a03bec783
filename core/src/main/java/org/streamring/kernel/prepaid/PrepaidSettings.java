package org.streamring.kernel.prepaid;

import java.time.Duration;

/**
 * Sizing of leases.
 *
 * @param cover period of demand that a lease covers without a renewal
 * @param rateWindow time over which demand is smoothed
 * @param idleShare part of an entry's even share that it holds without any demand
 * @param silenceTimeout time without a confirmed write after which tokens above the usage cap are used; a successor
 *     that starts sooner after the last write of its predecessor reclaims them
 * @param minCapShare minimum part of a lease that may be used immediately, without a further write
 */
public record PrepaidSettings(
        Duration cover, Duration rateWindow, double idleShare, Duration silenceTimeout, double minCapShare) {
    /** Tolerates a store outage of about eight seconds. */
    public static final PrepaidSettings DEFAULT =
            new PrepaidSettings(Duration.ofSeconds(10), Duration.ofSeconds(4), 0.25, Duration.ofMillis(3_200), 0.15);
}
