package org.streamring.kernel.prepaid;

import java.time.Duration;

/**
 * Lease of one account held by this incarnation: the granted tokens, the tokens used, and the tokens lent to or
 * borrowed from other entries.
 *
 * <p>The store holds the granted amount and a usage cap below it. Until the store has been silent for the silence
 * timeout, use stays within the cap, so that a successor can reclaim the tokens between the cap and the grant. Confined
 * to one thread.
 */
final class AccountLease {
    /** Allowance for demand that grows before the next write. */
    private static final double DEMAND_GROWTH_FACTOR = 1.3;
    /**
     * Period whose demand the cap covers immediately: the interval until the next write, and one more if that write is
     * rejected.
     */
    private static final double UNTIL_CONFIRMED_MILLIS = 600;

    /** A single request raises a cap by at most the lease divided by this number. */
    private static final int LARGEST_REQUEST_DIVISOR = 4;

    /**
     * Period of demand that is reported to witnesses ahead of its use. Reports are sent five times per second; the
     * period tolerates the loss of one or two of them.
     */
    private static final double RECORDED_AHEAD_MILLIS = 1_000;

    private final DurableAmount granted = new DurableAmount();
    private final DurableUsageCap usageCap = new DurableUsageCap();
    private long spent;
    private long reserved;
    private long lent;
    private long borrowed;
    private long waiting;
    private long largestRequest;
    private long sampledTokens;
    private long sampledMillis = -1;
    private double tokensPerMilli;

    /**
     * Returns the granted tokens that the store holds for this incarnation under every possible outcome of the writes
     * in progress.
     */
    long granted() {
        return granted.usable();
    }

    /**
     * Returns the tokens that can be reserved now.
     *
     * @param usable tokens of the grant that may be used now
     */
    long available(long usable) {
        return usable - used();
    }

    /** Returns the tokens of the grant that may be used before the silence timeout. */
    long usableWithinCap(StoreSilence sinceConfirmedWrite) {
        return Math.min(granted.usable(), usageCap.usable(sinceConfirmedWrite));
    }

    /** Returns the tokens of the grant that may be used after the silence timeout. */
    long usableAfterTimeout(StoreSilence sinceConfirmedWrite) {
        return sinceConfirmedWrite.released(usageCap.lowest(), granted.usable());
    }

    /**
     * Returns the tokens of the grant that may be used after the silence timeout, limited by the tokens recorded at a
     * witness.
     */
    long usableWithRecord(long recorded, StoreSilence sinceConfirmedWrite) {
        return Math.min(
                usableAfterTimeout(sinceConfirmedWrite),
                Math.max(usageCap.lowest().atSilenceTimeout(), recorded));
    }

    /** Returns the tokens to report to the witnesses, so that tokens are available to requests of the next second. */
    long tokensToRecord() {
        double upcomingUse = tokensPerMilli * DEMAND_GROWTH_FACTOR * RECORDED_AHEAD_MILLIS;
        return Math.min(granted.usable(), used() + (long) upcomingUse + waiting);
    }

    /** Returns the tokens of the grant that are used; negative while less is used than was borrowed. */
    long used() {
        return spent + reserved + lent - borrowed;
    }

    long waiting() {
        return waiting;
    }

    void addWaiting(long tokens) {
        waiting += tokens;
    }

    boolean tryReserve(long tokens, long usable) {
        largestRequest = Math.max(largestRequest, tokens);
        if (available(usable) < tokens) {
            return false;
        }
        reserved += tokens;
        return true;
    }

    void settle(long reservedTokens, long usedTokens) {
        reserved -= reservedTokens;
        spent += Math.min(usedTokens, reservedTokens);
    }

    /** Takes the size of another entry's request for tokens into account when sizing the lease. */
    void noteLoanRequest(long tokens) {
        largestRequest = Math.max(largestRequest, tokens);
    }

    void lend(long tokens) {
        lent += tokens;
    }

    void borrow(long tokens) {
        borrowed += tokens;
    }

    void proposed(long newGranted, Mark newCap) {
        granted.proposed(newGranted);
        usageCap.proposed(newCap);
    }

    void confirmed(long newGranted, Mark newCap) {
        granted.confirmed(newGranted);
        usageCap.confirmed(newCap);
    }

    void refused() {
        granted.refused();
        usageCap.refused();
    }

    /**
     * Notes that the outcome of a write is unknown.
     *
     * @param rowChanged whether the write included the account's row; if not, the granted amount is still known
     */
    void unanswered(boolean rowChanged) {
        if (rowChanged) {
            granted.unanswered();
        }
        usageCap.unanswered();
    }

    boolean uncertain() {
        return granted.uncertain();
    }

    void sample(long nowMillis, Duration window) {
        long use = spent + reserved + lent;
        if (sampledMillis < 0) {
            sampledMillis = nowMillis;
            sampledTokens = use;
            return;
        }
        long elapsed = nowMillis - sampledMillis;
        if (elapsed <= 0) {
            return;
        }
        double rate = Math.max(0, use - sampledTokens) / (double) elapsed;
        double weight = 1 - Math.exp(-elapsed / (double) window.toMillis());
        tokensPerMilli += weight * (rate - tokensPerMilli);
        sampledMillis = nowMillis;
        sampledTokens = use;
    }

    /**
     * Returns the tokens that should be available to cover demand.
     *
     * @param pool tokens that are available here or held by no entry; the result does not exceed them
     * @param holders live entries that hold leases of the account
     */
    long neededByDemand(long pool, int holders, PrepaidSettings settings) {
        long share = share(pool, holders);
        double demand = tokensPerMilli * settings.cover().toMillis();
        double idle = share * settings.idleShare();
        long demandTarget = (long) Math.max(demand + Math.min((double) largestRequest, demand), idle);
        return Math.max(Math.min(demandTarget, share), wantedByWaiting(pool));
    }

    /**
     * Returns the tokens that should be available: those needed by demand, or the idle share of the lease if that is
     * more.
     *
     * @param neededByDemand tokens needed to cover demand
     * @param pool tokens that are available here or held by no entry
     */
    static long target(long neededByDemand, long pool, int holders, LeaseShape shape) {
        return Math.max(neededByDemand, (long) (share(pool, holders) * shape.idleShare()));
    }

    private static long share(long pool, int holders) {
        return Math.max(0, pool / Math.max(1, holders));
    }

    /**
     * Returns the tokens that requests wait for.
     *
     * @param pool tokens that are available here or held by no entry; the result does not exceed them
     */
    long wantedByWaiting(long pool) {
        return Math.min(waiting, Math.max(0, pool));
    }

    /**
     * Returns the usage cap of a lease.
     *
     * @param neededByDemand tokens needed to cover demand
     * @param target tokens that are available after the write
     */
    Mark usageCapFor(long neededByDemand, long target, PrepaidSettings settings, LeaseShape shape) {
        double largestRequestPart = shape.largestRequestShare()
                * Math.min((double) largestRequest, target / (double) LARGEST_REQUEST_DIVISOR);
        double untilConfirmed = tokensPerMilli * DEMAND_GROWTH_FACTOR * UNTIL_CONFIRMED_MILLIS + largestRequestPart;
        double minimumPart = Math.min(neededByDemand, target) * settings.minCapShare();
        double atOnce = Math.max(Math.max(untilConfirmed, minimumPart), (double) waiting);
        double riseByDemand = tokensPerMilli
                        * shape.capGrowthFactor()
                        * settings.silenceTimeout().toMillis()
                + largestRequestPart;
        double capRise = Math.max(riseByDemand, target * shape.minCapShare());
        long used = used();
        long atSilenceTimeout = used + (long) Math.max(atOnce, capRise);
        return new Mark(used, used + (long) atOnce, atSilenceTimeout).atMost(used + target);
    }
}
