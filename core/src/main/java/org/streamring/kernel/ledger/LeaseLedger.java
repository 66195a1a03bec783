package org.streamring.kernel.ledger;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.streamring.kernel.table.Row;
import org.streamring.kernel.table.RowKeys;
import org.streamring.kernel.table.RowText;
import org.streamring.kernel.table.TransactionResult;
import org.streamring.kernel.table.TransactionResult.Committed;
import org.streamring.kernel.table.TransactionResult.Failure;
import org.streamring.kernel.table.TransactionResult.Rejected;

/**
 * Leases of one incarnation of an entry. Requests reserve their worst case here before they run. A runner requests a
 * {@link LedgerPlan}, applies it to the table and passes the answer of the table back.
 *
 * <p>At most one plan is open. While its outcome is unknown, {@link #plan} returns the same plan again: because it
 * replaces the row of the entry at its expected version, it either takes effect once or is found to have taken effect.
 * Tokens that a plan leases are not spendable until it took effect; tokens that it returns are not spendable from the
 * moment of planning.
 *
 * <p>Thread-safe. No other lock is acquired while its lock is held.
 */
public final class LeaseLedger {
    private static final long MIN_WRITE_INTERVAL_MILLIS = 1_000;
    private static final int MAX_REMAINING_READS = 100;

    private final String incarnation;
    private final LedgerSettings settings;
    private final Map<String, BudgetLeases> budgets = new LinkedHashMap<>();
    /** Budgets used since the last heartbeat; only these are checked between heartbeats. */
    private final Set<String> recentlyUsed = new LinkedHashSet<>();

    private final PeerRegister peers = new PeerRegister();
    private String address;

    private long sequence;
    private long leaseCounter;
    private long entryRowVersion;
    private long peersRowVersion;
    private long lastCommitMillis;
    private long configVersion;
    private boolean fenced;
    private boolean settling = true;
    private boolean stopping;
    private @Nullable PlannedTransaction pending;

    /**
     * Creates the ledger of a new incarnation.
     *
     * @param incarnation unique name of this run of the entry
     * @param address address at which callers reach the entry, shown to operators
     * @param settings sizing and return of leases
     */
    public LeaseLedger(String incarnation, String address, LedgerSettings settings) {
        this.incarnation = incarnation;
        this.address = address;
        this.settings = settings;
    }

    /** Returns the name of this incarnation. */
    public String incarnation() {
        return incarnation;
    }

    /** Reserves tokens for the worst case of an attempt. */
    public synchronized ReserveResult reserve(String attempt, String budget, long tokens, long nowMillis) {
        if (fenced) {
            return new ReserveResult.Fenced();
        }
        BudgetLeases leases = budgets.computeIfAbsent(budget, name -> new BudgetLeases(settings));
        recentlyUsed.add(budget);
        Optional<Lease> lease = leases.leaseFor(tokens, nowMillis);
        if (lease.isPresent()) {
            lease.get().reserve(attempt, tokens, nowMillis);
            return new ReserveResult.Reserved(
                    new Reservation(attempt, budget, lease.get().id(), tokens));
        }
        OptionalLong until = leases.usedUpUntil(tokens, nowMillis);
        if (until.isPresent()) {
            return new ReserveResult.UsedUp(Duration.ofMillis(until.getAsLong() - nowMillis));
        }
        leases.addShortfall(tokens);
        return new ReserveResult.NeedsLease();
    }

    /** Records the tokens that an attempt spent; returns false if it has no reservation, as on repeated calls. */
    public synchronized boolean finish(Reservation reservation, BillItem item, long nowMillis) {
        Optional<Lease> lease = lease(reservation);
        if (lease.isEmpty() || !lease.get().finish(reservation.attempt(), item)) {
            return false;
        }
        budgets.get(reservation.budget()).spent(item.tokens(), nowMillis);
        return true;
    }

    /** Releases the reservation of an attempt that did not run; returns false if it has none. */
    public synchronized boolean release(Reservation reservation) {
        return lease(reservation)
                .map(lease -> lease.release(reservation.attempt()))
                .orElse(false);
    }

    /** Keeps the reservation of an attempt whose sidecar cannot be reached, and marks its outcome as unknown. */
    public synchronized void markUncertain(Reservation reservation, String sidecarIncarnation) {
        lease(reservation).ifPresent(lease -> lease.markUncertain(reservation.attempt(), sidecarIncarnation));
    }

    private Optional<Lease> lease(Reservation reservation) {
        recentlyUsed.add(reservation.budget());
        BudgetLeases leases = budgets.get(reservation.budget());
        return leases == null ? Optional.empty() : leases.find(reservation.leaseId());
    }

    /** Schedules recording a sidecar in the table as one that may receive attempts. */
    public synchronized void announcePeer(String sidecarIncarnation) {
        peers.announce(sidecarIncarnation);
    }

    /** Notes that a sidecar is gone. Its record is removed when all leases taken before then are settled. */
    public synchronized void retirePeer(String sidecarIncarnation, long nowMillis) {
        peers.retire(sidecarIncarnation, nowMillis);
    }

    /**
     * Returns whether the table names this sidecar as one that may receive attempts, so that an entry that closes this
     * incarnation asks it for receipts.
     */
    public synchronized boolean mayUse(String sidecarIncarnation) {
        return !fenced && peers.isRecorded(sidecarIncarnation);
    }

    /** Sets the configuration version to write to the entry's row. */
    public synchronized void reportConfigVersion(long version) {
        configVersion = version;
    }

    /** Sets the address at which callers reach the entry; it is written with the next heartbeat. */
    public synchronized void reportAddress(String newAddress) {
        address = newAddress;
    }

    /** Notes that a budget was topped up, so that it no longer counts as used up. */
    public synchronized void toppedUp(String budget) {
        BudgetLeases leases = budgets.get(budget);
        if (leases != null) {
            leases.resetUsedUp();
        }
    }

    /** Returns whether this incarnation was closed by another entry or given up. */
    public synchronized boolean isFenced() {
        return fenced;
    }

    /**
     * Returns whether a plan is open, a request waits for a lease, or changes of the recorded sidecars must be written.
     */
    public synchronized boolean needsPlanSoon() {
        boolean waiting = recentlyUsedBudgets().anyMatch(BudgetLeases::hasShortfall);
        return pending != null || waiting || peers.hasChanges();
    }

    /** Returns the tokens in leases on a budget that are not spent, including reserved ones. */
    public synchronized long leasedTokens(String budget) {
        BudgetLeases leases = budgets.get(budget);
        return leases == null
                ? 0
                : leases.leases().stream()
                        .mapToLong(lease -> lease.granted() - lease.spent())
                        .sum();
    }

    /** Returns the tokens of leases on a budget that new requests may use. */
    public synchronized long freeTokens(String budget) {
        BudgetLeases leases = budgets.get(budget);
        return leases == null ? 0 : leases.freeTokens();
    }

    /** Returns the number of open leases. */
    public synchronized int openLeases() {
        return budgets.values().stream()
                .mapToInt(leases -> leases.leases().size())
                .sum();
    }

    /** Returns whether no lease is open and no open plan can still add one. */
    public synchronized boolean isSettled() {
        boolean mayArrive = pending != null && !pending.taken().isEmpty();
        return openLeases() == 0 && !mayArrive;
    }

    /** Drains all leases for a planned stop; subsequent plans settle them as their attempts end. */
    public synchronized void drainAll() {
        stopping = true;
        budgets.values().forEach(BudgetLeases::drainAll);
    }

    /**
     * Returns the next plan, or the open one again; empty if there is nothing to write yet. The first plan only creates
     * the row of the entry and takes no leases: creation is not fenced, so the plan may be applied late, after the
     * incarnation was closed.
     */
    public synchronized Optional<LedgerPlan> plan(long nowMillis) {
        if (fenced) {
            return Optional.empty();
        }
        if (pending != null) {
            return Optional.of(pending.plan());
        }
        peers.dropRetired(oldestLeaseMillis());
        if (entryRowVersion != 0 && !isDue(nowMillis)) {
            return Optional.empty();
        }
        TransactionDraft draft = new TransactionDraft(incarnation, sequence + 1);
        draft.entryRow(entryRowVersion, entryRecord(draft.id()));
        if (entryRowVersion == 0 || peers.hasChanges()) {
            draft.peersRow(peersRowVersion, new PeersRecord(peers.announced()));
        }
        if (entryRowVersion != 0) {
            planBudgets(draft, nowMillis);
        }
        if (draft.containsOnlyEntryRow() && entryRowVersion != 0 && !isHeartbeatDue(nowMillis)) {
            return Optional.empty();
        }
        peers.rememberPlanned();
        pending = draft.finish();
        return Optional.of(pending.plan());
    }

    private Stream<BudgetLeases> recentlyUsedBudgets() {
        return recentlyUsed.stream().flatMap(name -> Optional.ofNullable(budgets.get(name)).stream());
    }

    /**
     * Returns the budgets to check: all of them at a heartbeat and while the process stops, otherwise the recently used
     * ones.
     */
    private Set<String> budgetsToPlan(long nowMillis) {
        boolean all = isHeartbeatDue(nowMillis) || stopping;
        return all ? budgets.keySet() : recentlyUsed;
    }

    private boolean isDue(long nowMillis) {
        return isHeartbeatDue(nowMillis) || isUrgent(nowMillis);
    }

    private boolean isHeartbeatDue(long nowMillis) {
        return nowMillis - lastCommitMillis >= settings.heartbeat().toMillis();
    }

    /**
     * Returns whether something must be written before the next heartbeat; other changes are written together with the
     * heartbeat.
     */
    private boolean isUrgent(long nowMillis) {
        boolean tooSoon = nowMillis - lastCommitMillis < MIN_WRITE_INTERVAL_MILLIS;
        return peers.hasChanges()
                || stopping
                || recentlyUsedBudgets()
                        .anyMatch(leases -> leases.hasShortfall() || (!tooSoon && leases.isUrgent(nowMillis)));
    }

    private EntryRecord entryRecord(String transactionId) {
        return new EntryRecord(transactionId, EntryRecord.State.OPEN, "", configVersion, address);
    }

    private long oldestLeaseMillis() {
        return budgets.values().stream()
                .flatMap(leases -> leases.leases().stream())
                .mapToLong(Lease::openedMillis)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    private void planBudgets(TransactionDraft draft, long nowMillis) {
        boolean all = isHeartbeatDue(nowMillis);
        for (String name : List.copyOf(budgetsToPlan(nowMillis))) {
            BudgetLeases leases = budgets.get(name);
            if (leases == null || !draft.hasRoom()) {
                continue;
            }
            planBudget(name, leases, draft, nowMillis);
            if (leases.isQuiet(nowMillis)) {
                recentlyUsed.remove(name);
            }
            if (all && leases.isRemovable(nowMillis)) {
                budgets.remove(name);
            }
        }
    }

    private void planBudget(String budget, BudgetLeases leases, TransactionDraft draft, long nowMillis) {
        leases.drainOldLeases(nowMillis);
        long returned = 0;
        for (Lease lease : leases.leases()) {
            if (!draft.hasRoom() || !settling) {
                break;
            }
            if (lease.draining() && lease.noAttemptsRunning() && draft.fits(lease)) {
                returned += draft.settle(budget, lease);
            } else if (lease.canShrink()) {
                returned += draft.shrink(lease);
            }
        }
        long tokensToLease = leases.tokensToTake(nowMillis);
        if (tokensToLease > 0) {
            draft.take(budget, incarnation + "/" + Long.toString(++leaseCounter, Character.MAX_RADIX), tokensToLease);
        }
        draft.addToRemaining(budget, returned - tokensToLease);
    }

    /**
     * Notes that the open plan received no answer. The plan stays open, unless it creates the row of the entry. In that
     * case, the incarnation is given up: it holds no leases yet, and creating the row again after another entry has
     * closed the incarnation would reopen it.
     */
    public synchronized void noAnswer() {
        if (entryRowVersion == 0) {
            fenced = true;
        }
    }

    /** Gives this incarnation up, because a sidecar reported that it is closed. */
    public synchronized void giveUp() {
        fenced = true;
    }

    /** Discards the open plan, which must not have been sent to the table. */
    public synchronized void abandonUnsent() {
        requirePending().unfreeze();
        pending = null;
        sequence++;
    }

    /** Sets whether plans settle leases. They must not while bills cannot be written. */
    public synchronized void allowSettling(boolean allowed) {
        settling = allowed;
    }

    /**
     * Returns the budgets whose remaining tokens should be read before the next plan. A check costs one read, whereas a
     * rejected attempt costs a transaction.
     */
    public synchronized List<String> budgetsToRead(long nowMillis) {
        if (pending != null || fenced || entryRowVersion == 0 || !isDue(nowMillis)) {
            return List.of();
        }
        return budgetsToPlan(nowMillis).stream()
                .filter(name -> budgets.containsKey(name) && budgets.get(name).shouldReadRemaining(nowMillis))
                .limit(MAX_REMAINING_READS)
                .toList();
    }

    /** Notes the remaining tokens of a budget read before a plan. */
    public synchronized void remainingRead(String budget, long remaining, long nowMillis) {
        BudgetLeases leases = budgets.get(budget);
        if (leases != null) {
            leases.noteRemainingRead(remaining, nowMillis);
        }
    }

    /** Processes the answer of the table to the open plan. */
    public synchronized LedgerStep resolve(TransactionResult result, long nowMillis) {
        PlannedTransaction open = requirePending();
        if (result instanceof Committed committed) {
            return applied(open, committed.rows(), nowMillis);
        }
        Rejected rejected = (Rejected) result;
        Optional<Failure> entryRow = rejected.on(RowKeys.entry(incarnation));
        if (entryRow.isPresent()) {
            return resolveEntryRow(open, entryRow.get());
        }
        pending = null;
        open.unfreeze();
        for (Failure failure : rejected.failures()) {
            open.budgetOfRemainingRow(failure.key()).ifPresent(budget -> {
                long remaining = failure.current().map(Row::amount).orElse(0L);
                budgets.get(budget).noteInsufficient(remaining, nowMillis);
            });
        }
        sequence++;
        return new LedgerStep.PlanAgain();
    }

    private LedgerStep resolveEntryRow(PlannedTransaction open, Failure failure) {
        boolean tookEffect = failure.current()
                .map(row -> RowText.read(row.text(), EntryRecord.class))
                .filter(record -> record.state() == EntryRecord.State.OPEN)
                .map(record ->
                        record.transactionId().equals(open.plan().transaction().id()))
                .orElse(false);
        if (tookEffect) {
            return new LedgerStep.ReadBack(open.writtenKeys());
        }
        fenced = true;
        return new LedgerStep.FencedOff();
    }

    /** Processes the rows of the open plan after an earlier attempt is known to have taken effect. */
    public synchronized LedgerStep resolveReadBack(List<Row> rows, long nowMillis) {
        return applied(requirePending(), rows, nowMillis);
    }

    private PlannedTransaction requirePending() {
        if (pending == null) {
            throw new IllegalStateException("no ledger plan is open");
        }
        return pending;
    }

    private LedgerStep applied(PlannedTransaction open, List<Row> rows, long nowMillis) {
        Map<String, Row> byKey = new HashMap<>();
        rows.forEach(row -> byKey.put(row.key(), row));
        Row entryRow = byKey.get(RowKeys.entry(incarnation));
        if (entryRow == null) {
            fenced = true;
            return new LedgerStep.FencedOff();
        }
        pending = null;
        sequence++;
        entryRowVersion = entryRow.version();
        Row peersRow = byKey.get(RowKeys.peers(incarnation));
        if (peersRow != null) {
            peersRowVersion = peersRow.version();
        }
        lastCommitMillis = nowMillis;
        peers.committed();
        open.settledLeases().forEach(this::removeSettled);
        open.shrunk().forEach(lease -> applyShrink(lease, byKey));
        open.unfreeze();
        open.taken().forEach(taken -> applyTake(taken, byKey, nowMillis));
        budgets.forEach((name, leases) -> {
            Row remaining = byKey.get(RowKeys.remaining(name));
            if (remaining != null) {
                leases.noteRemaining(remaining.amount(), nowMillis);
            }
        });
        return new LedgerStep.Done(open.plan());
    }

    private void removeSettled(Lease settled) {
        budgets.values().forEach(leases -> leases.leases().remove(settled));
    }

    private static void applyShrink(Lease lease, Map<String, Row> rows) {
        Row row = rows.get(RowKeys.lease(lease.id()));
        if (row != null) {
            lease.resize(row.amount(), row.version());
        }
    }

    private void applyTake(PlannedTransaction.Taken taken, Map<String, Row> rows, long nowMillis) {
        Row row = rows.get(RowKeys.lease(taken.leaseId()));
        if (row == null) {
            return;
        }
        BudgetLeases leases = budgets.get(taken.budget());
        leases.leases().add(new Lease(taken.leaseId(), taken.budget(), row.amount(), row.version(), nowMillis));
        leases.noteLeaseTaken();
    }

    /** Returns the leases whose receipts sidecars must keep; all other leases of this incarnation are settled. */
    public synchronized Set<String> openLeaseIds() {
        Set<String> ids = new HashSet<>();
        budgets.values().stream()
                .map(BudgetLeases::leases)
                .flatMap(Collection::stream)
                .forEach(lease -> ids.add(lease.id()));
        return ids;
    }

    /** Returns the reservations of unknown outcome for which this sidecar has the receipts. */
    public synchronized List<Reservation> uncertainAt(String sidecarIncarnation) {
        List<Reservation> found = new ArrayList<>();
        budgets.values().stream().flatMap(leases -> leases.leases().stream()).forEach(lease -> lease.uncertain()
                .forEach((attempt, peer) -> {
                    if (peer.equals(sidecarIncarnation)) {
                        found.add(new Reservation(attempt, lease.budget(), lease.id(), lease.reservedFor(attempt)));
                    }
                }));
        return found;
    }
}
