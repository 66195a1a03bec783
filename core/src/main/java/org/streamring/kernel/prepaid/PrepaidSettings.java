package org.streamring.kernel.prepaid;

import java.time.Duration;

/**
 * How large leases are.
 *
 * @param cover time for which a lease should suffice without another
 * @param rateWindow time over which demand is smoothed
 * @param idleShare part of an entry's even share that it holds without any demand
 * @param patience how long the store must have been silent before tokens beyond the mark are used; a successor that
 *     starts sooner after its predecessor's last write takes them back
 * @param markShare least part of a lease that may be used at once, without a further write
 */
public record PrepaidSettings(
        Duration cover, Duration rateWindow, double idleShare, Duration patience, double markShare) {
    /** Rides out an absence of the store of some eight seconds. */
    public static final PrepaidSettings DEFAULT =
            new PrepaidSettings(Duration.ofSeconds(10), Duration.ofSeconds(4), 0.25, Duration.ofMillis(3_200), 0.15);
}
