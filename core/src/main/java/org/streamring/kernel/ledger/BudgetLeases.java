package org.streamring.kernel.ledger;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The leases that one entry holds on one budget, and the decisions about them: how much to take, when to settle, what
 * to give back. Not safe for use by several threads; {@link LeaseLedger} guards it.
 */
final class BudgetLeases {
    private static final long UNKNOWN = Long.MAX_VALUE;
    private static final int FIRST_LEASE_REQUESTS = 4;
    private static final int TIGHT_LEASES = 2;
    private static final long FRESH_MILLIS = 1_000;
    private static final long FIRST_BACKOFF_MILLIS = 250;
    private static final long LONGEST_BACKOFF_MILLIS = 2_000;
    /** Part of the covered demand below which a lease is taken at once. */
    private static final double URGENT_LEVEL = 0.5;
    /** The same when a transaction is written anyway. */
    private static final double RIDING_LEVEL = 0.95;

    private final LedgerSettings settings;
    private final List<Lease> leases = new ArrayList<>();
    private final DemandEstimator demand = new DemandEstimator();
    private long remainingHint = UNKNOWN;
    private long shortfall;
    private long largestWaiting;
    private long typicalWorst;
    private long hintMillis = -FRESH_MILLIS - 1;
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

    /** Oldest first, so that old leases run out and settle. */
    Optional<Lease> leaseFor(long tokens, long nowMillis) {
        typicalWorst = typicalWorst == 0 ? tokens : Math.max(tokens, typicalWorst - typicalWorst / 16);
        return leases.stream()
                .filter(lease -> lease.takesReservations() && lease.free() >= tokens)
                .findFirst();
    }

    /** When to come back, if the budget is known not to cover this many tokens. */
    OptionalLong usedUpUntil(long tokens, long nowMillis) {
        boolean known = usedUp && tokens > remainingHint && nowMillis < retryAtMillis;
        return known ? OptionalLong.of(retryAtMillis) : OptionalLong.empty();
    }

    void addShortfall(long tokens) {
        shortfall += tokens;
        largestWaiting = Math.max(largestWaiting, tokens);
    }

    boolean hasShortfall() {
        return shortfall > 0;
    }

    void spent(long tokens, long nowMillis) {
        demand.add(tokens, nowMillis);
    }

    /** Takes note of what the table last showed as remaining. */
    void noteRemaining(long remaining, long nowMillis) {
        remainingHint = remaining;
        hintMillis = nowMillis;
    }

    /** The table does not cover what was asked; ask again later, ever more seldom. */
    void noteInsufficient(long remaining, long nowMillis) {
        remainingHint = remaining;
        hintMillis = nowMillis;
        if (remaining >= neededNow()) {
            return;
        }
        usedUp = true;
        backoffMillis = Math.min(LONGEST_BACKOFF_MILLIS, Math.max(FIRST_BACKOFF_MILLIS, 2 * backoffMillis));
        retryAtMillis = nowMillis + backoffMillis;
        shortfall = 0;
        largestWaiting = 0;
    }

    /** A top-up makes whatever was known about the end of the budget void. */
    void forgetUsedUp() {
        remainingHint = UNKNOWN;
        usedUp = false;
        retryAtMillis = 0;
        backoffMillis = 0;
    }

    /** A lease arrived. */
    void noteTaken() {
        shortfall = 0;
        largestWaiting = 0;
        usedUp = false;
        backoffMillis = 0;
    }

    /**
     * Whether the remaining tokens should be read before the next plan: when a budget that was used up is due to be
     * tried
     * again, or before a lease is taken on an old reading. A read costs the store far less than a rejected transaction.
     */
    boolean wantsLook(long nowMillis) {
        if (usedUp) {
            return shortfall > 0 && nowMillis >= retryAtMillis;
        }
        return nowMillis - hintMillis > FRESH_MILLIS && tokensToTake(nowMillis) > 0;
    }

    /** Takes note of a look at the remaining tokens. */
    void noteLook(long remaining, long nowMillis) {
        hintMillis = nowMillis;
        if (remaining >= neededNow()) {
            remainingHint = remaining;
            usedUp = false;
            backoffMillis = 0;
        } else {
            noteInsufficient(remaining, nowMillis);
        }
    }

    private long neededNow() {
        return Math.max(1, Math.max(largestWaiting, typicalWorst));
    }

    /** Whether something should be written without waiting for the next heartbeat. */
    boolean isUrgent(long nowMillis) {
        boolean low = !usedUp && runsLow(nowMillis, URGENT_LEVEL) && demandSize(0, nowMillis) > 0;
        return low || (tight() && leases.stream().anyMatch(lease -> isReturnable(lease, nowMillis)));
    }

    private boolean isReturnable(Lease lease, long nowMillis) {
        return lease.free() > 0 && shouldDrain(lease, nowMillis) && (lease.quiet() || !lease.draining());
    }

    /** Whether nothing can become urgent before the next heartbeat. */
    boolean isQuiet(long nowMillis) {
        return shortfall == 0 && !tight() && !runsLow(nowMillis, RIDING_LEVEL);
    }

    /** Whether nothing is held and nothing was spent for long. */
    boolean isForgettable(long nowMillis) {
        return leases.isEmpty() && shortfall == 0 && !usedUp && demand.tokensPerSecond(nowMillis) < 1;
    }

    /** Tokens of the lease to take now; 0 for none. */
    long tokensToTake(long nowMillis) {
        long needed = Math.max(shortfall, largestWaiting);
        if (stopping) {
            return 0;
        }
        if (usedUp && (needed == 0 || largestWaiting > remainingHint)) {
            return 0;
        }
        if (needed == 0 && !runsLow(nowMillis, RIDING_LEVEL)) {
            return 0;
        }
        if (settings.sizing() == LedgerSettings.Sizing.FIXED) {
            return fixedSize();
        }
        return demandSize(needed, nowMillis);
    }

    private long fixedSize() {
        long atLeast = Math.max(settings.fixedTokens(), largestWaiting);
        return remainingHint == UNKNOWN ? atLeast : Math.max(largestWaiting, Math.min(atLeast, remainingHint));
    }

    private long demandSize(long needed, long nowMillis) {
        long single = Math.max(1, Math.max(largestWaiting, needed == 0 ? typicalWorst : 0));
        long wanted = Math.max(needed, coverTokens(nowMillis) - freeTokens());
        wanted = Math.max(wanted, FIRST_LEASE_REQUESTS * typicalWorst);
        if (remainingHint == UNKNOWN) {
            return Math.max(wanted, single);
        }
        long share = fairShare();
        long capped = Math.max(single, Math.min(wanted, share));
        boolean onlyAhead = needed == 0;
        return onlyAhead && capped > share ? 0 : capped;
    }

    /** Part of what remains that one entry may hold ahead of demand. */
    private long fairShare() {
        return remainingHint / settings.remainingDivisor();
    }

    private long coverTokens(long nowMillis) {
        return (long) (demand.tokensPerSecond(nowMillis) * settings.cover().toSeconds());
    }

    private boolean runsLow(long nowMillis, double level) {
        if (settings.sizing() == LedgerSettings.Sizing.FIXED) {
            return false;
        }
        double rate = demand.tokensPerSecond(nowMillis);
        boolean inUse = rate * settings.cover().toSeconds() > typicalWorst;
        return inUse && freeTokens() < level * Math.min(coverTokens(nowMillis), fairShare());
    }

    /** Tokens that new requests may use. */
    long freeTokens() {
        return leases.stream()
                .filter(Lease::takesReservations)
                .mapToLong(Lease::free)
                .sum();
    }

    /** Marks leases that should take no more reservations, so that they can settle. */
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
        boolean otherCovers = freeTokens() - lease.free() >= Math.max(typicalWorst, coverTokens(nowMillis) / 2);
        boolean idle = nowMillis - lastUsedMillis() >= idleReturn().toMillis();
        boolean uselessRest = settings.returnRests() && lease.free() < typicalWorst && (tight() || usableLeases() > 1);
        return (old && otherCovers) || idle || uselessRest || usedUp(lease);
    }

    /** Leases are used oldest first, so the budget as a whole counts: a lease that waits its turn is not idle. */
    private long lastUsedMillis() {
        return leases.stream().mapToLong(Lease::lastUsedMillis).max().orElse(0);
    }

    /**
     * From now on every lease drains, for a planned stop, also one that an open plan still brings; no further one is
     * taken.
     */
    void drainAll() {
        stopping = true;
        leases.forEach(Lease::drain);
    }

    private boolean usedUp(Lease lease) {
        return lease.free() == 0 && lease.quiet();
    }

    private long usableLeases() {
        return leases.stream().filter(Lease::takesReservations).count();
    }

    private Duration idleReturn() {
        return tight() ? settings.tightIdleReturn() : settings.idleReturn();
    }

    /** Whether what remains is so little that rests must not lie about. */
    private boolean tight() {
        return remainingHint != UNKNOWN
                && remainingHint < TIGHT_LEASES * FIRST_LEASE_REQUESTS * Math.max(1, typicalWorst);
    }
}
