package org.streamring.kernel.prepaid;

import java.time.Duration;

/**
 * What this incarnation holds of one account, and what it spent of it.
 *
 * <p>{@code usable} never exceeds what is durable under any outcome of the writes in progress. Confined to one thread.
 */
final class AccountLease {
    private long usable;
    private long durable;
    private boolean uncertain;
    private long spent;
    private long reserved;
    private long waiting;
    private long largest;
    private long sampledUse;
    private long sampledMillis = -1;
    private double tokensPerMilli;

    long available() {
        return usable - spent - reserved;
    }

    long used() {
        return spent + reserved;
    }

    long waiting() {
        return waiting;
    }

    void addWaiting(long tokens) {
        waiting += tokens;
    }

    boolean tryReserve(long tokens) {
        largest = Math.max(largest, tokens);
        if (available() < tokens) {
            return false;
        }
        reserved += tokens;
        return true;
    }

    void settle(long reservedTokens, long usedTokens) {
        reserved -= reservedTokens;
        spent += Math.min(usedTokens, reservedTokens);
    }

    void proposed(long granted) {
        usable = Math.min(usable, granted);
    }

    void confirmed(long granted) {
        usable = granted;
        durable = granted;
        uncertain = false;
    }

    void refused() {
        if (!uncertain) {
            usable = durable;
        }
    }

    void unanswered() {
        uncertain = true;
    }

    boolean uncertain() {
        return uncertain;
    }

    void sample(long nowMillis, Duration window) {
        if (sampledMillis < 0) {
            sampledMillis = nowMillis;
            sampledUse = used();
            return;
        }
        long elapsed = nowMillis - sampledMillis;
        if (elapsed <= 0) {
            return;
        }
        double rate = Math.max(0, used() - sampledUse) / (double) elapsed;
        double weight = 1 - Math.exp(-elapsed / (double) window.toMillis());
        tokensPerMilli += weight * (rate - tokensPerMilli);
        sampledMillis = nowMillis;
        sampledUse = used();
    }

    /** Tokens that should be at hand, out of those that are at hand or unheld. */
    long wanted(long pool, int entries, PrepaidSettings settings) {
        long share = Math.max(0, pool / Math.max(1, entries));
        double demand = tokensPerMilli * settings.cover().toMillis();
        double idle = share * settings.idleShare();
        long target = (long) Math.max(demand + Math.min((double) largest, demand), idle);
        return Math.max(Math.min(target, share), Math.min(waiting, Math.max(0, pool)));
    }
}
