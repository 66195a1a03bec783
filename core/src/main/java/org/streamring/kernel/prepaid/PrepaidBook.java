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
 * durably leased to this incarnation: a lease that grows is usable once its write is confirmed, one that shrinks is
 * smaller from the moment its write is proposed. Confined to one thread.
 */
public final class PrepaidBook {
    private static final double LOW_PART = 0.7;
    private static final double HIGH_PART = 1.4;
    private static final int SMALL_CHANGE_TOKENS = 500;

    private final String incarnation;
    private final PrepaidSettings settings;
    private final Map<String, AccountLease> leases = new HashMap<>();

    /** How a reservation ended. */
    public enum Outcome {
        /** The tokens are reserved. */
        RESERVED,
        /** The lease is too small at the moment. */
        SHORT
    }

    /**
     * One change that the book wants written.
     *
     * @param account account
     * @param row the account's row after the change
     * @param granted what this incarnation holds after the change
     */
    public record Proposal(String account, PrepaidRow row, long granted) {}

    /**
     * Creates an empty book.
     *
     * @param incarnation identifier of this process, unlike that of every other
     * @param settings how large leases are
     */
    public PrepaidBook(String incarnation, PrepaidSettings settings) {
        this.incarnation = incarnation;
        this.settings = settings;
    }

    /** Reserves tokens of an account. */
    public Outcome reserve(String account, long tokens) {
        return lease(account).tryReserve(tokens) ? Outcome.RESERVED : Outcome.SHORT;
    }

    /** Books what a request used and frees the rest of its reservation. */
    public void settle(String account, long reserved, long used) {
        lease(account).settle(reserved, used);
    }

    /** Counts tokens that a request waits for; negative when it stops waiting. */
    public void addWaiting(String account, long tokens) {
        lease(account).addWaiting(tokens);
    }

    /** Tokens of an account that can be reserved at once. */
    public long available(String account) {
        return lease(account).available();
    }

    /** Tokens of an account that this incarnation has spent or reserved. */
    public long used(String account) {
        return lease(account).used();
    }

    /** Notes the demand since the last call. */
    public void sample(long nowMillis) {
        leases.values().forEach(lease -> lease.sample(nowMillis, settings.rateWindow()));
    }

    /**
     * Plans the next write of an account.
     *
     * @param row the row as last read, with the limit in force
     * @param entries live entries that share the account
     * @return empty if nothing needs to be written
     */
    public Optional<Proposal> plan(String account, PrepaidRow row, int entries) {
        AccountLease lease = lease(account);
        long available = lease.available();
        long pool = row.unheld() + heldIn(row) - lease.used();
        long wanted = lease.wanted(pool, entries, settings);
        if (!lease.uncertain() && settled(available, wanted, lease.waiting())) {
            return Optional.empty();
        }
        long granted = lease.used() + wanted;
        return Optional.of(
                new Proposal(account, row.withHolding(incarnation, new Holding(granted, lease.used())), granted));
    }

    /** Whether the rest that nobody has spent for sure can't hold a request at its most. */
    public static boolean exhausted(PrepaidRow row, long tokens) {
        return row.limit() - row.spentAtLeast() < tokens;
    }

    /** Plans the return of all that is neither spent nor reserved. */
    public Proposal planClose(String account, PrepaidRow row) {
        AccountLease lease = lease(account);
        return new Proposal(account, row.withClosed(incarnation, lease.used()), lease.used());
    }

    /** Notes that a write was sent. */
    public void proposed(Proposal proposal) {
        lease(proposal.account()).proposed(proposal.granted());
    }

    /** Notes that a write took effect. */
    public void confirmed(Proposal proposal) {
        lease(proposal.account()).confirmed(proposal.granted());
    }

    /** Notes that a write did not take effect and never will. */
    public void refused(Proposal proposal) {
        lease(proposal.account()).refused();
    }

    /** Notes that nobody knows whether a write took, or will take, effect. */
    public void unanswered(Proposal proposal) {
        lease(proposal.account()).unanswered();
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
