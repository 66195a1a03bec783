package org.streamring.kernel.prepaid;

import java.time.Duration;

/**
 * How large leases are.
 *
 * @param cover time for which a lease should suffice without another
 * @param rateWindow time over which demand is smoothed
 * @param idleShare part of an entry's share of the rest that it holds without any demand
 */
public record PrepaidSettings(Duration cover, Duration rateWindow, double idleShare) {
    /** Rides out an absence of the store of some eight seconds. */
    public static final PrepaidSettings DEFAULT =
            new PrepaidSettings(Duration.ofSeconds(10), Duration.ofSeconds(4), 0.05);
}
