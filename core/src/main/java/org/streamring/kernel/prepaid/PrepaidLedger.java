package org.streamring.kernel.prepaid;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Leases of prepaid tokens held by this incarnation, and the planning of their renewal.
 *
 * <p>A request reserves its worst case before it runs and settles its actual use afterwards. Only tokens that are
 * durably leased to this incarnation, or that another entry lent out of its own lease, are spent. A larger lease is
 * usable after its write is confirmed; a smaller one applies as soon as its write is proposed. Confined to one thread.
 */
public final class PrepaidLedger {
    private static final double MIN_TARGET_SHARE = 0.7;
    private static final double MAX_TARGET_SHARE = 1.4;
    /**
     * Besides the requested tokens, at most the available tokens divided by this number are lent, to save further
     * requests.
     */
    private static final int SPARE_DIVISOR = 4;

    private static final int MIN_CHANGE_TOKENS = 500;
    /** Maximum number of borrowed tokens that an entry without leases keeps: the size of a short prompt. */
    private static final long MAX_KEPT_TOKENS = 2_000;
    /**
     * All entries without leases together keep at most the limit of an account divided by this number. With 2,000
     * tokens kept by each of 33 entries, 34 in 1,000 of the requests that the limits allowed were refused near the end
     * of the limits.
     */
    private static final int KEPT_LIMIT_DIVISOR = 50;

    private final String incarnation;
    private final PrepaidSettings settings;
    private final Map<String, AccountLease> leases = new HashMap<>();
    private final DurableWitnesses witnesses = new DurableWitnesses();
    private final Map<String, Map<String, Long>> recordedByWitness = new HashMap<>();
    private final DurableRelease release;
    private long newestMillis;
    private long confirmedMillis;
    private boolean shrinking;

    /** Result of a reservation. */
    public enum Outcome {
        /** The tokens are reserved. */
        RESERVED,
        /** The lease currently has too few tokens. */
        SHORT
    }

    /**
     * Planned write for one account.
     *
     * @param account account
     * @param row the account's row after the change; empty if it does not change
     * @param granted tokens held by this incarnation after the change
     * @param cap usage cap after the change
     */
    public record Proposal(String account, Optional<PrepaidRow> row, long granted, Mark cap) {
        /** Returns this proposal; if it does not change the row, one that writes the given row. */
        public Proposal orElseWrite(PrepaidRow other) {
            return row.isPresent() ? this : new Proposal(account, Optional.of(other), granted, cap);
        }
    }

    /**
     * Creates an instance without leases.
     *
     * @param incarnation identifier of this process, different from that of every other process
     * @param settings sizing of leases
     */
    public PrepaidLedger(String incarnation, PrepaidSettings settings) {
        this.incarnation = incarnation;
        this.settings = settings;
        this.release = new DurableRelease(settings.cover().toMillis());
    }

    /** Returns the incarnation that holds these leases. */
    public String incarnation() {
        return incarnation;
    }

    /** Returns the sizing of leases. */
    public PrepaidSettings settings() {
        return settings;
    }

    /**
     * Sets the time since the last confirmed write.
     *
     * @param elapsedMillis time since the last confirmed write was sent, or less
     */
    public void setTimeSinceConfirmedWrite(long elapsedMillis) {
        setTimeSinceConfirmedWrite(elapsedMillis, elapsedMillis);
    }

    /**
     * Sets the time without a confirmed write.
     *
     * @param newestMillis time since the newest write that may have taken effect was sent, or less
     * @param confirmedMillis time since the last confirmed write was sent, or less; at least {@code newestMillis}
     */
    public void setTimeSinceConfirmedWrite(long newestMillis, long confirmedMillis) {
        this.newestMillis = newestMillis;
        this.confirmedMillis = confirmedMillis;
    }

    private StoreSilence sinceConfirmedWrite() {
        return sinceConfirmedWrite(0);
    }

    private StoreSilence sinceConfirmedWrite(long laterMillis) {
        return new StoreSilence(
                newestMillis + laterMillis,
                confirmedMillis + laterMillis,
                settings.silenceTimeout().toMillis(),
                release.releaseMillis());
    }

    /** Returns the time over which leases are released while the store does not confirm writes. */
    public DurableRelease release() {
        return release;
    }

    /** Returns the witnesses that record use above the usage caps. */
    public DurableWitnesses witnesses() {
        return witnesses;
    }

    /** Returns whether tokens can be used only after a witness has recorded them. */
    public boolean needsUsageRecords() {
        return sinceConfirmedWrite().silenceTimeoutElapsed() && !witnesses.noneNamed();
    }

    /** Returns the tokens of the grants to report to the witnesses, by account. */
    public Map<String, Long> tokensToRecord() {
        Map<String, Long> toRecord = new HashMap<>();
        leases.forEach((account, lease) -> {
            if (lease.usableAfterTimeout(sinceConfirmedWrite()) > 0) {
                toRecord.put(account, lease.tokensToRecord());
            }
        });
        return toRecord;
    }

    /** Notes that a witness has recorded tokens, so that they may be used. */
    public void addRecordedByWitness(String witness, Map<String, Long> tokens) {
        Map<String, Long> recorded = recordedByWitness.computeIfAbsent(witness, key -> new HashMap<>());
        tokens.forEach((account, amount) -> recorded.merge(account, amount, Math::max));
    }

    /** Returns whether tokens would become available if a witness recorded them. */
    public boolean recordWouldHelp(String account, long tokens) {
        AccountLease lease = lease(account);
        return needsUsageRecords() && lease.available(lease.usableAfterTimeout(sinceConfirmedWrite())) >= tokens;
    }

    private long usable(String account, AccountLease lease) {
        return usable(account, lease, sinceConfirmedWrite());
    }

    private long usable(String account, AccountLease lease, StoreSilence silence) {
        if (!silence.silenceTimeoutElapsed()) {
            return lease.usableWithinCap(silence);
        }
        if (witnesses.noneNamed()) {
            return lease.usableAfterTimeout(silence);
        }
        long recorded = witnesses.usable().stream()
                .map(witness -> recordedByWitness.getOrDefault(witness, Map.of()))
                .mapToLong(notes -> notes.getOrDefault(account, 0L))
                .max()
                .orElse(0);
        return lease.usableWithRecord(recorded, silence);
    }

    /**
     * Reduces leases to the tokens that are used or waited for from now on, because this entry accepts no more
     * requests.
     */
    public void releaseUnused() {
        shrinking = true;
    }

    /** Reserves tokens of an account. */
    public Outcome reserve(String account, long tokens) {
        return lease(account).tryReserve(tokens, usable(account, lease(account))) ? Outcome.RESERVED : Outcome.SHORT;
    }

    /** Records the tokens that a request used and frees the remainder of its reservation. */
    public void settle(String account, long reserved, long used) {
        lease(account).settle(reserved, used);
    }

    /**
     * Lends tokens to another entry. The transfer is permanent: the tokens count as used here.
     *
     * @param asked tokens that the other entry lacks
     * @return tokens lent; fewer than requested if fewer are available
     */
    public long lend(String account, long asked) {
        return lendUpTo(account, asked, asked);
    }

    /**
     * Lends more tokens than requested if enough are available, to save further requests. The remainder stays idle at
     * the borrower, so this is meant for small fleets.
     */
    public long lendWithSpare(String account, long asked) {
        long available = Math.max(0, available(account));
        return lendUpTo(account, asked, asked + Math.min(asked, available / SPARE_DIVISOR));
    }

    private long lendUpTo(String account, long asked, long maxTokens) {
        AccountLease lease = lease(account);
        lease.noteLoanRequest(asked);
        long amount = Math.min(Math.max(0, lease.available(usable(account, lease))), maxTokens);
        lease.lend(amount);
        return amount;
    }

    /** Adds tokens lent by another entry. */
    public void borrow(String account, long tokens) {
        lease(account).borrow(tokens);
    }

    /**
     * Gives up idle borrowed tokens, so that they can be returned to an entry that holds leases of the account.
     *
     * @param kept tokens to keep
     * @return tokens that are no longer available here
     */
    public long takeIdleForReturn(String account, long kept) {
        AccountLease lease = lease(account);
        long idle = Math.min(-lease.used(), lease.available(usable(account, lease))) - kept;
        if (idle <= 0 || lease.waiting() > 0) {
            return 0;
        }
        lease.lend(idle);
        return idle;
    }

    /**
     * Returns the borrowed tokens that an entry without leases of an account keeps, to save further requests.
     *
     * @param limit limit of the account
     * @param entries number of live entries
     */
    public static long idleAllowance(long limit, int entries) {
        return Math.min(MAX_KEPT_TOKENS, limit / KEPT_LIMIT_DIVISOR / Math.max(1, entries));
    }

    /** Adds tokens that a request waits for; negative when it stops waiting. */
    public void addWaiting(String account, long tokens) {
        lease(account).addWaiting(tokens);
    }

    /** Returns the tokens of an account that can be reserved now. */
    public long available(String account) {
        return lease(account).available(usable(account, lease(account)));
    }

    /**
     * Returns the tokens of an account that can be reserved after some time if the store confirms nothing and nothing
     * else happens: the usable part of a lease grows with the silence of the store.
     */
    public long availableAfter(String account, long millis) {
        return lease(account).available(usable(account, lease(account), sinceConfirmedWrite(millis)));
    }

    /** Returns a snapshot of the lease of an account, for the log. */
    public LeaseState state(String account) {
        AccountLease lease = lease(account);
        return new LeaseState(
                lease.granted(),
                lease.used(),
                usable(account, lease),
                lease.usableAfterTimeout(sinceConfirmedWrite()),
                lease.waiting());
    }

    /** Returns the tokens that the store holds for this incarnation under every outcome of the writes in progress. */
    public long granted(String account) {
        return lease(account).granted();
    }

    /** Measures the demand since the last call. */
    public void sample(long nowMillis) {
        leases.values().forEach(lease -> lease.sample(nowMillis, settings.rateWindow()));
    }

    /**
     * Plans the next write of an account.
     *
     * @param row the row as last read, with the current limit
     * @param holders number of live entries that hold leases of the account, including this one
     * @param shape sizing of leases
     */
    public Proposal plan(String account, PrepaidRow row, int holders, LeaseShape shape) {
        AccountLease lease = lease(account);
        long held = grantedIn(row);
        long used = lease.used();
        long pool = row.unheld() + held - used;
        long neededByDemand = shrinking ? lease.wantedByWaiting(pool) : lease.neededByDemand(pool, holders, settings);
        long target = shrinking ? neededByDemand : AccountLease.target(neededByDemand, pool, holders, shape);
        if (!lease.uncertain() && isNearTarget(held - used, target, lease.waiting())) {
            Mark mark = lease.usageCapFor(neededByDemand, Math.max(0, held - used), settings, shape);
            return new Proposal(account, Optional.empty(), held, mark.atMost(held));
        }
        long granted = used + target;
        Mark mark = lease.usageCapFor(neededByDemand, target, settings, shape);
        PrepaidRow changed = row.withHolding(incarnation, new Holding(granted, used));
        return new Proposal(account, Optional.of(changed), granted, mark);
    }

    /** Plans the next write of an account whose leases are held by all entries. */
    public Proposal plan(String account, PrepaidRow row, int holders) {
        return plan(account, row, holders, LeaseShape.ALL_HOLD);
    }

    /**
     * Plans the next write of an account whose leases are held by other entries. A lease is taken only for requests
     * that could not borrow, and unused borrowed tokens are returned. The usage cap is the whole grant, because no
     * successor reclaims it.
     *
     * <p>Small remainders stay here until a frame returns them: the row is written by the home entries, and every other
     * writer causes conflicts with their commits.
     *
     * @param row the row as last read, with the current limit
     */
    public Proposal planNonHome(String account, PrepaidRow row) {
        AccountLease lease = lease(account);
        long held = grantedIn(row);
        long used = lease.used();
        boolean enough = lease.waiting() == 0 && held - used <= MAX_KEPT_TOKENS;
        if (enough && !lease.uncertain()) {
            return new Proposal(account, Optional.empty(), held, Mark.of(held));
        }
        long granted = used + lease.wantedByWaiting(row.unheld() + held - used);
        PrepaidRow changed = row.withHolding(incarnation, new Holding(granted, used));
        return new Proposal(account, Optional.of(changed), granted, Mark.of(granted));
    }

    /** Returns whether the tokens that are not certainly spent are too few for a request of this maximum size. */
    public static boolean exhausted(PrepaidRow row, long tokens) {
        return row.limit() - row.spentAtLeast() < tokens;
    }

    /** Plans the return of all tokens that are neither spent nor reserved. */
    public Proposal planClose(String account, PrepaidRow row) {
        long used = lease(account).used();
        return new Proposal(account, Optional.of(row.withClosed(incarnation, used)), used, Mark.of(used));
    }

    /**
     * Plans to reclaim the unused tokens of a predecessor on this box that stayed within its usage caps.
     *
     * @param marks usage caps of the predecessor
     * @param startMillis time, on the clock of the store, at which this incarnation started, or later
     * @return the row without the holding of the predecessor; empty if it has none
     */
    public Optional<PrepaidRow> reclaim(String account, PrepaidRow row, MarkRow marks, long startMillis) {
        long silenceTimeout = settings.silenceTimeout().toMillis();
        return row.holding(marks.incarnation())
                .map(holding -> marks.usedAtMost(account, holding.granted(), startMillis, silenceTimeout))
                .map(used -> row.withClosed(marks.incarnation(), used));
    }

    /**
     * Plans to reclaim the unused tokens of a predecessor on this box that reached its silence timeout.
     *
     * @param recorded maximum number of tokens recorded at any witness, by account; all witnesses of the predecessor
     *     answered
     * @return the row without the holding of the predecessor; empty if it has none
     */
    public static Optional<PrepaidRow> reclaimUnrecorded(
            String account, PrepaidRow row, MarkRow marks, Map<String, Long> recorded) {
        return row.holding(marks.incarnation())
                .map(holding -> marks.usedAtMost(account, holding.granted(), recorded.getOrDefault(account, 0L)))
                .map(used -> row.withClosed(marks.incarnation(), used));
    }

    /**
     * Plans to reclaim the tokens that a predecessor on this box cannot have used before this incarnation started. This
     * applies to predecessors that reached their silence timeout and whose witnesses are gone. Otherwise, the loss of
     * all entries during a store outage would leave all of their leases counted as used for good: 18 in 100 of the
     * tokens in one such loss near the end of a budget.
     *
     * @param startMillis time, on the clock of the store, at which this incarnation started, or later
     * @return the row without the holding of the predecessor; empty if it has none or may have used all of it
     */
    public Optional<PrepaidRow> reclaimUnreleased(String account, PrepaidRow row, MarkRow marks, long startMillis) {
        Optional<Holding> holding = row.holding(marks.incarnation());
        long granted = holding.map(Holding::granted).orElse(0L);
        long used = marks.releasedAtMost(
                account, granted, startMillis, settings.silenceTimeout().toMillis());
        return used < granted ? Optional.of(row.withClosed(marks.incarnation(), used)) : Optional.empty();
    }

    /** Notes that a write was sent. */
    public void proposed(Proposal proposal) {
        lease(proposal.account()).proposed(proposal.granted(), proposal.cap());
    }

    /** Notes that a write took effect. */
    public void confirmed(Proposal proposal) {
        lease(proposal.account()).confirmed(proposal.granted(), proposal.cap());
    }

    /** Notes that a write did not take effect and never will. */
    public void refused(Proposal proposal) {
        lease(proposal.account()).refused();
    }

    /** Notes that it is unknown whether a write took effect or will still do so. */
    public void outcomeUnknown(Proposal proposal) {
        lease(proposal.account()).unanswered(proposal.row().isPresent());
    }

    /** Returns the accounts for which this incarnation has lease state. */
    public List<String> accounts() {
        return new ArrayList<>(leases.keySet());
    }

    private boolean isNearTarget(long available, long target, long waiting) {
        if (waiting > 0) {
            return available >= waiting;
        }
        if (Math.abs(available - target) <= MIN_CHANGE_TOKENS) {
            return true;
        }
        return available >= target * MIN_TARGET_SHARE && available <= target * MAX_TARGET_SHARE;
    }

    private long grantedIn(PrepaidRow row) {
        return row.holding(incarnation).map(Holding::granted).orElse(0L);
    }

    private AccountLease lease(String account) {
        return leases.computeIfAbsent(account, name -> new AccountLease());
    }
}
