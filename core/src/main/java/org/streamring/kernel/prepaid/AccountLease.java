package org.streamring.kernel.prepaid;

import java.time.Duration;

/**
 * What this incarnation holds of one account, what it used of it, and what it lent to or borrowed from other entries.
 *
 * <p>Two amounts are durable: all that is granted, and a mark below it. While the store answers, no more is used
 * than the mark, so that a successor may take back what lies between the two. Confined to one thread.
 */
final class AccountLease {
    /** Demand may rise while the store is silent. */
    private static final double MARK_FACTOR = 1.3;

    private final DurableAmount granted = new DurableAmount();
    private final DurableAmount mark = new DurableAmount();
    private long spent;
    private long reserved;
    private long lent;
    private long borrowed;
    private long waiting;
    private long largest;
    private long sampledUse;
    private long sampledMillis = -1;
    private double tokensPerMilli;

    /** Tokens that can be reserved at once. */
    long available(boolean beyondMark) {
        return (beyondMark ? granted.usable() : mark.usable()) + borrowed - lent - spent - reserved;
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

    boolean tryReserve(long tokens, boolean beyondMark) {
        largest = Math.max(largest, tokens);
        if (available(beyondMark) < tokens) {
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

    void proposed(long newGranted, long newMark) {
        granted.proposed(newGranted);
        mark.proposed(newMark);
    }

    void confirmed(long newGranted, long newMark) {
        granted.confirmed(newGranted);
        mark.confirmed(newMark);
    }

    void refused() {
        granted.refused();
        mark.refused();
    }

    void unanswered() {
        granted.unanswered();
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

    /** Tokens that should be at hand, out of those that are at hand or unheld. */
    long wanted(long pool, int holders, PrepaidSettings settings) {
        long share = Math.max(0, pool / Math.max(1, holders));
        double demand = tokensPerMilli * settings.cover().toMillis();
        double idle = share * settings.idleShare();
        long target = (long) Math.max(demand + Math.min((double) largest, demand), idle);
        return Math.max(Math.min(target, share), wantedByWaiting(pool));
    }

    /** Tokens that requests wait for, out of those that are at hand or unheld. */
    long wantedByWaiting(long pool) {
        return Math.min(waiting, Math.max(0, pool));
    }

    /** Tokens of those at hand that may be used while the store answers. */
    long wantedBelowMark(long wanted, PrepaidSettings settings) {
        double demand = tokensPerMilli * settings.patience().toMillis() * MARK_FACTOR;
        double part = wanted * settings.markShare();
        long needed = Math.max((long) Math.max(demand, part), Math.max(waiting, 0));
        return Math.min(wanted, needed);
    }
}
