package org.streamring.kernel.ledger;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Leases that one entry holds on one budget, and the decisions on how many tokens to lease, when to settle leases and
 * what to return. Not thread-safe; guarded by {@link LeaseLedger}.
 */
final class BudgetLeases {
    private static final long UNKNOWN_REMAINING = Long.MAX_VALUE;
    private static final int INITIAL_LEASE_REQUESTS = 4;
    private static final int SCARCE_BUDGET_LEASES = 2;
    private static final long REMAINING_VALID_MILLIS = 1_000;
    private static final long MIN_BACKOFF_MILLIS = 250;
    private static final long MAX_BACKOFF_MILLIS = 2_000;
    /** Part of the covered demand; when fewer tokens are free, a lease is taken immediately. */
    private static final double URGENT_FREE_PART = 0.5;
    /** Part of the covered demand; when fewer tokens are free, a lease is taken together with another write. */
    private static final double SHARED_WRITE_FREE_PART = 0.95;

    private final LedgerSettings settings;
    private final List<Lease> leases = new ArrayList<>();
    private final DemandEstimator demand = new DemandEstimator();
    private long lastRemaining = UNKNOWN_REMAINING;
    private long shortfall;
    private long largestWaitingReservation;
    private long typicalReservation;
    private long lastRemainingMillis = -REMAINING_VALID_MILLIS - 1;
    private boolean usedUp;
    private boolean stopping;
    private long retryAtMillis;
    private long backoffMillis;

    BudgetLeases(LedgerSettings settings) {
        this.settings = settings;
    }

    List<Lease> leases() {
        return leases;
    }

    Optional<Lease> find(String leaseId) {
        return leases.stream().filter(lease -> lease.id().equals(leaseId)).findFirst();
    }

    /**
     * Returns the oldest lease that can cover a reservation. Old leases are used first, so that they are used up and
     * can be settled.
     */
    Optional<Lease> leaseFor(long tokens, long nowMillis) {
        typicalReservation =
                typicalReservation == 0 ? tokens : Math.max(tokens, typicalReservation - typicalReservation / 16);
        return leases.stream()
                .filter(lease -> lease.takesReservations() && lease.free() >= tokens)
                .findFirst();
    }

    /** Returns the time at which to retry, if the budget is known not to cover this number of tokens. */
    OptionalLong usedUpUntil(long tokens, long nowMillis) {
        boolean stillUsedUp = usedUp && tokens > lastRemaining && nowMillis < retryAtMillis;
        return stillUsedUp ? OptionalLong.of(retryAtMillis) : OptionalLong.empty();
    }

    void addShortfall(long tokens) {
        shortfall += tokens;
        largestWaitingReservation = Math.max(largestWaitingReservation, tokens);
    }

    boolean hasShortfall() {
        return shortfall > 0;
    }

    void spent(long tokens, long nowMillis) {
        demand.add(tokens, nowMillis);
    }

    /** Notes the remaining tokens of the budget as last returned by the table. */
    void noteRemaining(long remaining, long nowMillis) {
        lastRemaining = remaining;
        lastRemainingMillis = nowMillis;
    }

    /**
     * Notes the remaining tokens returned with a rejected request for a lease. If they do not cover the needed tokens,
     * the next attempt is delayed with exponential back-off.
     */
    void noteInsufficient(long remaining, long nowMillis) {
        lastRemaining = remaining;
        lastRemainingMillis = nowMillis;
        if (remaining >= neededNow()) {
            return;
        }
        usedUp = true;
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, Math.max(MIN_BACKOFF_MILLIS, 2 * backoffMillis));
        retryAtMillis = nowMillis + backoffMillis;
        shortfall = 0;
        largestWaitingReservation = 0;
    }

    /** Discards the last known remaining tokens and the back-off, after a top-up. */
    void resetUsedUp() {
        lastRemaining = UNKNOWN_REMAINING;
        usedUp = false;
        retryAtMillis = 0;
        backoffMillis = 0;
    }

    /** Notes that a lease was taken. */
    void noteLeaseTaken() {
        shortfall = 0;
        largestWaitingReservation = 0;
        usedUp = false;
        backoffMillis = 0;
    }

    /**
     * Returns whether the remaining tokens should be read before the next plan: when a budget that was used up is due
     * for a retry, or before a lease is taken based on an old value. A read costs the store far less than a rejected
     * transaction.
     */
    boolean shouldReadRemaining(long nowMillis) {
        if (usedUp) {
            return shortfall > 0 && nowMillis >= retryAtMillis;
        }
        return nowMillis - lastRemainingMillis > REMAINING_VALID_MILLIS && tokensToTake(nowMillis) > 0;
    }

    /** Notes the remaining tokens read before a plan. */
    void noteRemainingRead(long remaining, long nowMillis) {
        lastRemainingMillis = nowMillis;
        if (remaining >= neededNow()) {
            lastRemaining = remaining;
            usedUp = false;
            backoffMillis = 0;
        } else {
            noteInsufficient(remaining, nowMillis);
        }
    }

    private long neededNow() {
        return Math.max(1, Math.max(largestWaitingReservation, typicalReservation));
    }

    /** Returns whether something should be written before the next heartbeat. */
    boolean isUrgent(long nowMillis) {
        boolean low = !usedUp && runsLow(nowMillis, URGENT_FREE_PART) && demandSize(0, nowMillis) > 0;
        return low || (isScarce() && leases.stream().anyMatch(lease -> isReturnable(lease, nowMillis)));
    }

    private boolean isReturnable(Lease lease, long nowMillis) {
        return lease.free() > 0 && shouldDrain(lease, nowMillis) && (lease.noAttemptsRunning() || !lease.draining());
    }

    /** Returns whether nothing can become urgent before the next heartbeat. */
    boolean isQuiet(long nowMillis) {
        return shortfall == 0 && !isScarce() && !runsLow(nowMillis, SHARED_WRITE_FREE_PART);
    }

    /** Returns whether no lease is held and hardly anything was spent recently, so that this object can be removed. */
    boolean isRemovable(long nowMillis) {
        return leases.isEmpty() && shortfall == 0 && !usedUp && demand.tokensPerSecond(nowMillis) < 1;
    }

    /** Returns the number of tokens to lease now; 0 for no lease. */
    long tokensToTake(long nowMillis) {
        long needed = Math.max(shortfall, largestWaitingReservation);
        if (stopping) {
            return 0;
        }
        if (usedUp && (needed == 0 || largestWaitingReservation > lastRemaining)) {
            return 0;
        }
        if (needed == 0 && !runsLow(nowMillis, SHARED_WRITE_FREE_PART)) {
            return 0;
        }
        if (settings.sizing() == LedgerSettings.Sizing.FIXED) {
            return fixedSize();
        }
        return demandSize(needed, nowMillis);
    }

    private long fixedSize() {
        long atLeast = Math.max(settings.fixedTokens(), largestWaitingReservation);
        return lastRemaining == UNKNOWN_REMAINING
                ? atLeast
                : Math.max(largestWaitingReservation, Math.min(atLeast, lastRemaining));
    }

    private long demandSize(long needed, long nowMillis) {
        long minimumSize = Math.max(1, Math.max(largestWaitingReservation, needed == 0 ? typicalReservation : 0));
        long desiredSize = Math.max(needed, coverTokens(nowMillis) - freeTokens());
        desiredSize = Math.max(desiredSize, INITIAL_LEASE_REQUESTS * typicalReservation);
        if (lastRemaining == UNKNOWN_REMAINING) {
            return Math.max(desiredSize, minimumSize);
        }
        long share = fairShare();
        long cappedSize = Math.max(minimumSize, Math.min(desiredSize, share));
        boolean onlyAheadOfDemand = needed == 0;
        return onlyAheadOfDemand && cappedSize > share ? 0 : cappedSize;
    }

    /** Returns the part of the remaining tokens that one entry may lease ahead of demand. */
    private long fairShare() {
        return lastRemaining / settings.remainingDivisor();
    }

    private long coverTokens(long nowMillis) {
        return (long) (demand.tokensPerSecond(nowMillis) * settings.cover().toSeconds());
    }

    private boolean runsLow(long nowMillis, double freePart) {
        if (settings.sizing() == LedgerSettings.Sizing.FIXED) {
            return false;
        }
        double rate = demand.tokensPerSecond(nowMillis);
        boolean inUse = rate * settings.cover().toSeconds() > typicalReservation;
        return inUse && freeTokens() < freePart * Math.min(coverTokens(nowMillis), fairShare());
    }

    /** Returns the tokens that new requests may use. */
    long freeTokens() {
        return leases.stream()
                .filter(Lease::takesReservations)
                .mapToLong(Lease::free)
                .sum();
    }

    /** Stops new reservations on leases that should be settled. */
    void drainOldLeases(long nowMillis) {
        leases.stream().filter(lease -> shouldDrain(lease, nowMillis)).forEach(Lease::drain);
    }

    private boolean shouldDrain(Lease lease, long nowMillis) {
        if (!lease.takesReservations()) {
            return lease.draining();
        }
        if (stopping) {
            return true;
        }
        boolean old = nowMillis - lease.openedMillis() >= settings.settleAfter().toMillis();
        boolean otherLeasesSuffice =
                freeTokens() - lease.free() >= Math.max(typicalReservation, coverTokens(nowMillis) / 2);
        boolean idle = nowMillis - lastUsedMillis() >= idleReturn().toMillis();
        boolean remainderTooSmall = settings.returnSmallRemainders()
                && lease.free() < typicalReservation
                && (isScarce() || usableLeaseCount() > 1);
        return (old && otherLeasesSuffice) || idle || remainderTooSmall || usedUp(lease);
    }

    /**
     * Returns the time of the last use of any lease of the budget. Leases are used oldest first, so a newer lease that
     * has not been used yet is not idle.
     */
    private long lastUsedMillis() {
        return leases.stream().mapToLong(Lease::lastUsedMillis).max().orElse(0);
    }

    /** Drains all leases for a planned stop, including one that an open plan still adds, and takes no further lease. */
    void drainAll() {
        stopping = true;
        leases.forEach(Lease::drain);
    }

    private boolean usedUp(Lease lease) {
        return lease.free() == 0 && lease.noAttemptsRunning();
    }

    private long usableLeaseCount() {
        return leases.stream().filter(Lease::takesReservations).count();
    }

    private Duration idleReturn() {
        return isScarce() ? settings.tightIdleReturn() : settings.idleReturn();
    }

    /** Returns whether so few tokens remain that unused remainders should be returned quickly. */
    private boolean isScarce() {
        return lastRemaining != UNKNOWN_REMAINING
                && lastRemaining < SCARCE_BUDGET_LEASES * INITIAL_LEASE_REQUESTS * Math.max(1, typicalReservation);
    }
}
