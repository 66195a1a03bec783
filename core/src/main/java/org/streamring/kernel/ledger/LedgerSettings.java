package org.streamring.kernel.ledger;

import java.time.Duration;

/**
 * How an entry takes, holds and returns leases. Every setting trades held tokens against store writes and refusals;
 * none can cause overspend.
 *
 * @param sizing how lease sizes are chosen
 * @param fixedTokens lease size under {@link Sizing#FIXED}
 * @param cover time for which a lease should carry the smoothed demand
 * @param remainingDivisor a lease takes at most this fraction of what remains, unless one request needs more
 * @param settleAfter age after which a lease is replaced and settled
 * @param idleReturn time without use after which a lease goes back
 * @param tightIdleReturn the same while the budget is nearly used up
 * @param returnRests whether a rest that is too small for one request goes back at once
 * @param heartbeat time between transactions when there is nothing else to write
 */
public record LedgerSettings(
        Sizing sizing,
        long fixedTokens,
        Duration cover,
        int remainingDivisor,
        Duration settleAfter,
        Duration idleReturn,
        Duration tightIdleReturn,
        boolean returnRests,
        Duration heartbeat) {

    /** How lease sizes are chosen. */
    public enum Sizing {
        /** From smoothed demand. */
        DEMAND,
        /** Always the same; the baseline for measurements. */
        FIXED
    }

    /** Settings for users to whom a false refusal hurts most: large leases, settled late. */
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

    /** Settings for users who want spend settled soonest: smaller leases, settled early. */
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

    /** The baseline: leases of a fixed size, kept until used up. */
    public static LedgerSettings fixed(long tokens) {
        Duration never = Duration.ofDays(1);
        return new LedgerSettings(
                Sizing.FIXED, tokens, Duration.ZERO, 1, never, never, never, false, Duration.ofSeconds(10));
    }
}
