package org.streamring.kernel.prepaid;

import java.time.Duration;

/**
 * What this incarnation holds of one account, what it used of it, and what it lent to or borrowed from other entries.
 *
 * <p>Durable are all that is granted, and a mark below it. Until the store has been silent for long, no more is used
 * than the mark, so that a successor may take back what lies between the two. Confined to one thread.
 */
final class AccountLease {
    /** Demand may rise until the next write. */
    private static final double MARK_FACTOR = 1.3;
    /** What is used until the next write is confirmed: an interval between writes, and one that is refused first. */
    private static final double MILLIS_AT_ONCE = 600;

    /** A single request makes room in a mark for at most one part in this many of the lease. */
    private static final int PARTS_FOR_ONE_REQUEST = 4;

    /** Notes are sent five times a second; one or two of them may be lost. */
    private static final double NOTED_AHEAD_MILLIS = 1_000;

    private final DurableAmount granted = new DurableAmount();
    private final DurableMark mark = new DurableMark();
    private long spent;
    private long reserved;
    private long lent;
    private long borrowed;
    private long waiting;
    private long largest;
    private long sampledUse;
    private long sampledMillis = -1;
    private double tokensPerMilli;

    /** Tokens that the store holds for this incarnation, whatever becomes of the writes in progress. */
    long granted() {
        return granted.usable();
    }

    /** Tokens that can be reserved at once. */
    long available(long usable) {
        return usable - used();
    }

    /** Tokens of the grant that may be used while the marks bind. */
    long usableBelowMark(StoreSilence silence) {
        return Math.min(granted.usable(), mark.usable(silence));
    }

    /** Tokens of the grant that may be used once the marks no longer bind. */
    long usableBeyondMark(StoreSilence silence) {
        return silence.released(mark.least(), granted.usable());
    }

    /** Tokens of the grant that may be used once the marks no longer bind, up to those noted at a witness. */
    long usableUpTo(long noted, StoreSilence silence) {
        return Math.min(usableBeyondMark(silence), Math.max(mark.least().atPatience(), noted));
    }

    /** What is to be noted at the witnesses, so that requests of the next moments find tokens. */
    long wantedNote() {
        double soon = tokensPerMilli * MARK_FACTOR * NOTED_AHEAD_MILLIS;
        return Math.min(granted.usable(), used() + (long) soon + waiting);
    }

    /** Tokens of the grant that are used; negative while less is used than was borrowed. */
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
        largest = Math.max(largest, tokens);
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

    /** Notes what another entry asked for. */
    void asked(long tokens) {
        largest = Math.max(largest, tokens);
    }

    void lend(long tokens) {
        lent += tokens;
    }

    void borrow(long tokens) {
        borrowed += tokens;
    }

    void proposed(long newGranted, Mark newMark) {
        granted.proposed(newGranted);
        mark.proposed(newMark);
    }

    void confirmed(long newGranted, Mark newMark) {
        granted.confirmed(newGranted);
        mark.confirmed(newMark);
    }

    void refused() {
        granted.refused();
        mark.refused();
    }

    /**
     * Notes that the outcome of a write is not known.
     *
     * @param rowChanged whether it changed the account's row; if not, what is granted is still known
     */
    void unanswered(boolean rowChanged) {
        if (rowChanged) {
            granted.unanswered();
        }
        mark.unanswered();
    }

    boolean uncertain() {
        return granted.uncertain();
    }

    void sample(long nowMillis, Duration window) {
        long use = spent + reserved + lent;
        if (sampledMillis < 0) {
            sampledMillis = nowMillis;
            sampledUse = use;
            return;
        }
        long elapsed = nowMillis - sampledMillis;
        if (elapsed <= 0) {
            return;
        }
        double rate = Math.max(0, use - sampledUse) / (double) elapsed;
        double weight = 1 - Math.exp(-elapsed / (double) window.toMillis());
        tokensPerMilli += weight * (rate - tokensPerMilli);
        sampledMillis = nowMillis;
        sampledUse = use;
    }

    /** Tokens that should be at hand by the demand, out of those that are at hand or unheld. */
    long needed(long pool, int holders, PrepaidSettings settings) {
        long share = share(pool, holders);
        double demand = tokensPerMilli * settings.cover().toMillis();
        double idle = share * settings.idleShare();
        long target = (long) Math.max(demand + Math.min((double) largest, demand), idle);
        return Math.max(Math.min(target, share), wantedByWaiting(pool));
    }

    /**
     * Tokens that should be at hand, out of those that are at hand or unheld.
     *
     * @param needed tokens that should be at hand by the demand
     */
    static long wanted(long needed, long pool, int holders, LeaseShape shape) {
        return Math.max(needed, (long) (share(pool, holders) * shape.idleShare()));
    }

    private static long share(long pool, int holders) {
        return Math.max(0, pool / Math.max(1, holders));
    }

    /** Tokens that requests wait for, out of those that are at hand or unheld. */
    long wantedByWaiting(long pool) {
        return Math.min(waiting, Math.max(0, pool));
    }

    /**
     * The mark of a lease.
     *
     * @param needed tokens that should be at hand by the demand
     * @param wanted tokens at hand
     */
    Mark markFor(long needed, long wanted, PrepaidSettings settings, LeaseShape shape) {
        double oneRequest = shape.partOfLargest() * Math.min((double) largest, wanted / (double) PARTS_FOR_ONE_REQUEST);
        double untilNextWrite = tokensPerMilli * MARK_FACTOR * MILLIS_AT_ONCE + oneRequest;
        double part = Math.min(needed, wanted) * settings.markShare();
        double atOnce = Math.max(Math.max(untilNextWrite, part), (double) waiting);
        double byDemand =
                tokensPerMilli * shape.riseFactor() * settings.patience().toMillis() + oneRequest;
        double rise = Math.max(byDemand, wanted * shape.leastRise());
        long used = used();
        long atPatience = used + (long) Math.max(atOnce, rise);
        return new Mark(used, used + (long) atOnce, atPatience).atMost(used + wanted);
    }
}
