package org.streamring.kernel.ledger;

import java.time.Duration;

/**
 * Settings of how an entry takes, holds and returns leases. Each setting is a trade-off between leased tokens, store
 * writes and refusals; none can cause overspending.
 *
 * @param sizing how lease sizes are determined
 * @param fixedTokens lease size with {@link Sizing#FIXED}
 * @param cover period of smoothed demand that a lease should cover
 * @param remainingDivisor a lease takes at most the remaining tokens divided by this number, unless a single request
 *     needs more
 * @param settleAfter age after which a lease is replaced and settled
 * @param idleReturn time without use after which a lease is returned
 * @param tightIdleReturn time without use after which a lease is returned if the budget is nearly used up
 * @param returnSmallRemainders whether a remainder that is too small for one request is returned immediately
 * @param heartbeat interval between transactions if there is nothing else to write
 */
public record LedgerSettings(
        Sizing sizing,
        long fixedTokens,
        Duration cover,
        int remainingDivisor,
        Duration settleAfter,
        Duration idleReturn,
        Duration tightIdleReturn,
        boolean returnSmallRemainders,
        Duration heartbeat) {

    /** Method that determines lease sizes. */
    public enum Sizing {
        /** Sizes are derived from the smoothed demand. */
        DEMAND,
        /** All leases have the same size; baseline for measurements. */
        FIXED
    }

    /** Returns settings that minimize false refusals: large leases, settled late. */
    public static LedgerSettings patient() {
        return new LedgerSettings(
                Sizing.DEMAND,
                0,
                Duration.ofSeconds(150),
                4,
                Duration.ofSeconds(120),
                Duration.ofSeconds(30),
                Duration.ofSeconds(2),
                true,
                Duration.ofSeconds(10));
    }

    /** Returns settings that settle spent tokens early: smaller leases, settled soon. */
    public static LedgerSettings prompt() {
        return new LedgerSettings(
                Sizing.DEMAND,
                0,
                Duration.ofSeconds(120),
                8,
                Duration.ofSeconds(20),
                Duration.ofSeconds(10),
                Duration.ofSeconds(1),
                true,
                Duration.ofSeconds(10));
    }

    /** Returns the baseline settings: leases of a fixed size, kept until used up. */
    public static LedgerSettings fixed(long tokens) {
        Duration never = Duration.ofDays(1);
        return new LedgerSettings(
                Sizing.FIXED, tokens, Duration.ZERO, 1, never, never, never, false, Duration.ofSeconds(10));
    }
}
