package org.streamring.kernel.prepaid;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * This incarnation's leases of prepaid tokens, and the plan for their renewal.
 *
 * <p>A request reserves its worst case before it runs; afterwards it settles what it used. The book spends only what is
 * durably leased to this incarnation, or was lent by another entry out of its own lease. A lease that grows is
 * usable once its write is confirmed, one that shrinks is smaller from the moment its write is proposed. Confined to
 * one thread.
 */
public final class PrepaidBook {
    private static final double LOW_PART = 0.7;
    private static final double HIGH_PART = 1.4;
    /** Besides what is asked for, at most one part in this many is lent, to save further questions. */
    private static final int SPARE_PARTS = 4;

    private static final int SMALL_CHANGE_TOKENS = 500;
    /** What an entry that holds no leases keeps of the tokens that it borrowed, at most: a short prompt. */
    private static final long MOST_KEPT_TOKENS = 2_000;
    /**
     * All that such entries keep of an account is at most one part in this many of its limit. With 2,000 tokens kept by
     * each of 33 entries, 34 in 1,000 of the requests that the limits allowed were refused as they ran out.
     */
    private static final int PARTS_KEPT = 50;

    private final String incarnation;
    private final PrepaidSettings settings;
    private final Map<String, AccountLease> leases = new HashMap<>();
    private final DurableWitnesses witnesses = new DurableWitnesses();
    private final Map<String, Map<String, Long>> notedAt = new HashMap<>();
    private final DurableRelease release;
    private long newestMillis;
    private long inForceMillis;
    private boolean releasing;

    /** How a reservation ended. */
    public enum Outcome {
        /** The tokens are reserved. */
        RESERVED,
        /** The lease is too small at the moment. */
        SHORT
    }

    /**
     * What the book wants written of one account.
     *
     * @param account account
     * @param row the account's row after the change; empty if it stays as it is
     * @param granted what this incarnation holds after the change
     * @param mark its mark after the change
     */
    public record Proposal(String account, Optional<PrepaidRow> row, long granted, Mark mark) {
        /** This proposal, which writes the given row if it would write none. */
        public Proposal orElseWrite(PrepaidRow other) {
            return row.isPresent() ? this : new Proposal(account, Optional.of(other), granted, mark);
        }
    }

    /**
     * Creates an empty book.
     *
     * @param incarnation identifier of this process, unlike that of every other
     * @param settings how large leases are
     */
    public PrepaidBook(String incarnation, PrepaidSettings settings) {
        this.incarnation = incarnation;
        this.settings = settings;
        this.release = new DurableRelease(settings.cover().toMillis());
    }

    /** Whose leases these are. */
    public String incarnation() {
        return incarnation;
    }

    /** How large leases are. */
    public PrepaidSettings settings() {
        return settings;
    }

    /**
     * Says for how long the store has confirmed no write.
     *
     * @param elapsedMillis time since the last confirmed write was sent, or less
     */
    public void storeSilentFor(long elapsedMillis) {
        storeSilentFor(elapsedMillis, elapsedMillis);
    }

    /**
     * Says for how long the store has confirmed no write.
     *
     * @param newestMillis time since the newest write was sent that may have taken effect, or less
     * @param inForceMillis time since the last confirmed write was sent, or less; not less than the time before
     */
    public void storeSilentFor(long newestMillis, long inForceMillis) {
        this.newestMillis = newestMillis;
        this.inForceMillis = inForceMillis;
    }

    private StoreSilence silence() {
        return new StoreSilence(newestMillis, inForceMillis, settings.patience().toMillis(), release.usableMillis());
    }

    /** Until when leases are released while the store is silent. */
    public DurableRelease release() {
        return release;
    }

    /** Who witnesses what is used beyond the marks. */
    public DurableWitnesses witnesses() {
        return witnesses;
    }

    /** Whether tokens can be used only after they are noted at a witness. */
    public boolean needsNotes() {
        return silence().outOfPatience() && !witnesses.none();
    }

    /** What should be noted at the witnesses: tokens of the grants that may be used, by account. */
    public Map<String, Long> wantedNotes() {
        Map<String, Long> wanted = new HashMap<>();
        leases.forEach((account, lease) -> {
            if (lease.usableBeyondMark(silence()) > 0) {
                wanted.put(account, lease.wantedNote());
            }
        });
        return wanted;
    }

    /** Notes that a witness has acknowledged tokens that may be used. */
    public void noted(String witness, Map<String, Long> tokens) {
        Map<String, Long> noted = notedAt.computeIfAbsent(witness, key -> new HashMap<>());
        tokens.forEach((account, amount) -> noted.merge(account, amount, Math::max));
    }

    /** Whether a note at a witness would make tokens available. */
    public boolean noteWouldHelp(String account, long tokens) {
        AccountLease lease = lease(account);
        return needsNotes() && lease.available(lease.usableBeyondMark(silence())) >= tokens;
    }

    private long usable(String account, AccountLease lease) {
        if (!silence().outOfPatience()) {
            return lease.usableBelowMark(silence());
        }
        if (witnesses.none()) {
            return lease.usableBeyondMark(silence());
        }
        long noted = witnesses.usable().stream()
                .map(witness -> notedAt.getOrDefault(witness, Map.of()))
                .mapToLong(notes -> notes.getOrDefault(account, 0L))
                .max()
                .orElse(0);
        return lease.usableUpTo(noted, silence());
    }

    /** From now on leases shrink to what is used or waited for, as this entry takes no more requests. */
    public void stopTaking() {
        releasing = true;
    }

    /** Reserves tokens of an account. */
    public Outcome reserve(String account, long tokens) {
        return lease(account).tryReserve(tokens, usable(account, lease(account))) ? Outcome.RESERVED : Outcome.SHORT;
    }

    /** Books what a request used and frees the rest of its reservation. */
    public void settle(String account, long reserved, long used) {
        lease(account).settle(reserved, used);
    }

    /**
     * Lends tokens to another entry, for good: they count as used here.
     *
     * @param asked tokens that the other lacks
     * @return tokens lent; fewer than asked if there are not so many
     */
    public long lend(String account, long asked) {
        return lendUpTo(account, asked, asked);
    }

    /**
     * Lends more than is asked for where there is plenty, to save further questions. The rest lies idle at the
     * borrower, so this is for small fleets.
     */
    public long lendWithSpare(String account, long asked) {
        long available = Math.max(0, available(account));
        return lendUpTo(account, asked, asked + Math.min(asked, available / SPARE_PARTS));
    }

    private long lendUpTo(String account, long asked, long most) {
        AccountLease lease = lease(account);
        lease.asked(asked);
        long amount = Math.min(Math.max(0, lease.available(usable(account, lease))), most);
        lease.lend(amount);
        return amount;
    }

    /** Takes tokens that another entry lent. */
    public void borrow(String account, long tokens) {
        lease(account).borrow(tokens);
    }

    /**
     * Gives up borrowed tokens that lie idle, so that they can be returned to an entry that holds the account's leases.
     *
     * @param kept tokens that stay here
     * @return tokens that are no longer available here
     */
    public long giveUpIdle(String account, long kept) {
        AccountLease lease = lease(account);
        long idle = Math.min(-lease.used(), lease.available(usable(account, lease))) - kept;
        if (idle <= 0 || lease.waiting() > 0) {
            return 0;
        }
        lease.lend(idle);
        return idle;
    }

    /**
     * Tokens that an entry which holds no leases of an account keeps of what it borrowed, to save further questions.
     *
     * @param limit the account's limit
     * @param entries live entries
     */
    public static long kept(long limit, int entries) {
        return Math.min(MOST_KEPT_TOKENS, limit / PARTS_KEPT / Math.max(1, entries));
    }

    /** Counts tokens that a request waits for; negative when it stops waiting. */
    public void addWaiting(String account, long tokens) {
        lease(account).addWaiting(tokens);
    }

    /** Tokens of an account that can be reserved at once. */
    public long available(String account) {
        return lease(account).available(usable(account, lease(account)));
    }

    /** What this incarnation has of an account, for the log. */
    public LeaseState state(String account) {
        AccountLease lease = lease(account);
        return new LeaseState(
                lease.granted(),
                lease.used(),
                usable(account, lease),
                lease.usableBeyondMark(silence()),
                lease.waiting());
    }

    /** Notes the demand since the last call. */
    public void sample(long nowMillis) {
        leases.values().forEach(lease -> lease.sample(nowMillis, settings.rateWindow()));
    }

    /**
     * Plans the next write of an account.
     *
     * @param row the row as last read, with the limit in force
     * @param holders live entries that hold leases of the account, this one among them
     * @param shape how large a lease is
     */
    public Proposal plan(String account, PrepaidRow row, int holders, LeaseShape shape) {
        AccountLease lease = lease(account);
        long held = heldIn(row);
        long used = lease.used();
        long pool = row.unheld() + held - used;
        long needed = releasing ? lease.wantedByWaiting(pool) : lease.needed(pool, holders, settings);
        long wanted = releasing ? needed : AccountLease.wanted(needed, pool, holders, shape);
        if (!lease.uncertain() && settled(held - used, wanted, lease.waiting())) {
            Mark mark = lease.markFor(needed, Math.max(0, held - used), settings, shape);
            return new Proposal(account, Optional.empty(), held, mark.atMost(held));
        }
        long granted = used + wanted;
        Mark mark = lease.markFor(needed, wanted, settings, shape);
        PrepaidRow changed = row.withHolding(incarnation, new Holding(granted, used));
        return new Proposal(account, Optional.of(changed), granted, mark);
    }

    /** Plans the next write of an account of which all entries hold leases. */
    public Proposal plan(String account, PrepaidRow row, int holders) {
        return plan(account, row, holders, LeaseShape.ALL_HOLD);
    }

    /**
     * Plans the next write of an account whose leases others hold: only requests that could not borrow get a lease, and
     * what was borrowed and not used goes back. All of it may be used, as no successor takes it back.
     *
     * <p>Small rests stay here until a frame returns them: the row is written by the home entries, and each other
     * writer keeps them from committing.
     *
     * @param row the row as last read, with the limit in force
     */
    public Proposal planBorrower(String account, PrepaidRow row) {
        AccountLease lease = lease(account);
        long held = heldIn(row);
        long used = lease.used();
        boolean enough = lease.waiting() == 0 && held - used <= MOST_KEPT_TOKENS;
        if (enough && !lease.uncertain()) {
            return new Proposal(account, Optional.empty(), held, Mark.of(held));
        }
        long granted = used + lease.wantedByWaiting(row.unheld() + held - used);
        PrepaidRow changed = row.withHolding(incarnation, new Holding(granted, used));
        return new Proposal(account, Optional.of(changed), granted, Mark.of(granted));
    }

    /** Whether the rest that nobody has spent for sure can't hold a request at its most. */
    public static boolean exhausted(PrepaidRow row, long tokens) {
        return row.limit() - row.spentAtLeast() < tokens;
    }

    /** Plans the return of all that is neither spent nor reserved. */
    public Proposal planClose(String account, PrepaidRow row) {
        long used = lease(account).used();
        return new Proposal(account, Optional.of(row.withClosed(incarnation, used)), used, Mark.of(used));
    }

    /**
     * Plans to take back what a predecessor on this box left unused.
     *
     * @param marks its marks, which it is known to have held
     * @param startMillis time of the store at which this incarnation started, or later
     * @return the row without its holding; empty if it has none
     */
    public Optional<PrepaidRow> reclaim(String account, PrepaidRow row, MarkRow marks, long startMillis) {
        long patience = settings.patience().toMillis();
        return row.holding(marks.incarnation())
                .map(holding -> marks.usedAtMost(account, holding.granted(), startMillis, patience))
                .map(used -> row.withClosed(marks.incarnation(), used));
    }

    /**
     * Plans to take back what a predecessor on this box left unused that ran out of patience.
     *
     * @param noted the most that it noted at any witness, by account; all its witnesses were asked
     * @return the row without its holding; empty if it has none
     */
    public static Optional<PrepaidRow> reclaimNoted(
            String account, PrepaidRow row, MarkRow marks, Map<String, Long> noted) {
        return row.holding(marks.incarnation())
                .map(holding -> marks.usedAtMost(account, holding.granted(), noted.getOrDefault(account, 0L)))
                .map(used -> row.withClosed(marks.incarnation(), used));
    }

    /**
     * Plans to take back what a predecessor on this box can't have used yet when this incarnation started. For those
     * that ran out of patience and whose witnesses are gone: without it a loss of all entries while the store is away
     * leaves all of their leases used for good, 18 in 100 of the tokens in one such loss at the end of a budget.
     *
     * @param startMillis time of the store at which this incarnation started, or later
     * @return the row without its holding; empty if it has none, or may have used all of it
     */
    public Optional<PrepaidRow> reclaimReleased(String account, PrepaidRow row, MarkRow marks, long startMillis) {
        Optional<Holding> holding = row.holding(marks.incarnation());
        long granted = holding.map(Holding::granted).orElse(0L);
        long used = marks.releasedAtMost(
                account, granted, startMillis, settings.patience().toMillis());
        return used < granted ? Optional.of(row.withClosed(marks.incarnation(), used)) : Optional.empty();
    }

    /** Notes that a write was sent. */
    public void proposed(Proposal proposal) {
        lease(proposal.account()).proposed(proposal.granted(), proposal.mark());
    }

    /** Notes that a write took effect. */
    public void confirmed(Proposal proposal) {
        lease(proposal.account()).confirmed(proposal.granted(), proposal.mark());
    }

    /** Notes that a write did not take effect and never will. */
    public void refused(Proposal proposal) {
        lease(proposal.account()).refused();
    }

    /** Notes that nobody knows whether a write took, or will take, effect. */
    public void unanswered(Proposal proposal) {
        lease(proposal.account()).unanswered(proposal.row().isPresent());
    }

    /** Accounts of which this incarnation holds a lease. */
    public List<String> accounts() {
        return new ArrayList<>(leases.keySet());
    }

    private boolean settled(long available, long wanted, long waiting) {
        if (waiting > 0) {
            return available >= waiting;
        }
        if (Math.abs(available - wanted) <= SMALL_CHANGE_TOKENS) {
            return true;
        }
        return available >= wanted * LOW_PART && available <= wanted * HIGH_PART;
    }

    private long heldIn(PrepaidRow row) {
        return row.holding(incarnation).map(Holding::granted).orElse(0L);
    }

    private AccountLease lease(String account) {
        return leases.computeIfAbsent(account, name -> new AccountLease());
    }
}
