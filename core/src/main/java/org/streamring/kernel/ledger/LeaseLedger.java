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
 * The leases of one incarnation of an entry. Requests reserve their worst case here before they run; a runner asks for
 * a {@link LedgerPlan}, applies it, and hands back what the table answered.
 *
 * <p>At most one plan is open. While its outcome is not known, the same plan is handed out again: it either takes
 * effect once or is found to have taken effect, because it replaces the entry's own row at its expected version. What
 * it takes is not spendable before that, and what it gives back is not spendable from the moment it was planned.
 *
 * <p>Safe for use by many threads; its lock is a leaf, held while no other lock is taken.
 */
public final class LeaseLedger {
    private static final long SHORTEST_PAUSE_MILLIS = 1_000;
    private static final int MAX_LOOKS = 100;

    private final String incarnation;
    private final LedgerSettings settings;
    private final Map<String, BudgetLeases> budgets = new LinkedHashMap<>();
    /** Budgets that were used since the last heartbeat; only these are looked over between heartbeats. */
    private final Set<String> active = new LinkedHashSet<>();

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
     * @param address where callers reach the entry, for operators
     * @param settings how leases are taken and returned
     */
    public LeaseLedger(String incarnation, String address, LedgerSettings settings) {
        this.incarnation = incarnation;
        this.address = address;
        this.settings = settings;
    }

    /** Name of this incarnation. */
    public String incarnation() {
        return incarnation;
    }

    /** Sets tokens aside for the worst case of an attempt. */
    public synchronized ReserveResult reserve(String attempt, String budget, long tokens, long nowMillis) {
        if (fenced) {
            return new ReserveResult.Fenced();
        }
        BudgetLeases leases = budgets.computeIfAbsent(budget, name -> new BudgetLeases(settings));
        active.add(budget);
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

    /** Books what an attempt spent; repeated calls change nothing. */
    public synchronized boolean finish(Reservation reservation, BillItem item, long nowMillis) {
        Optional<Lease> lease = lease(reservation);
        if (lease.isEmpty() || !lease.get().finish(reservation.attempt(), item)) {
            return false;
        }
        budgets.get(reservation.budget()).spent(item.tokens(), nowMillis);
        return true;
    }

    /** Gives back what was set aside for an attempt that did not run. */
    public synchronized boolean release(Reservation reservation) {
        return lease(reservation)
                .map(lease -> lease.release(reservation.attempt()))
                .orElse(false);
    }

    /** Keeps what was set aside for an attempt whose sidecar can't be asked now. */
    public synchronized void markUncertain(Reservation reservation, String sidecarIncarnation) {
        lease(reservation).ifPresent(lease -> lease.markUncertain(reservation.attempt(), sidecarIncarnation));
    }

    private Optional<Lease> lease(Reservation reservation) {
        active.add(reservation.budget());
        BudgetLeases leases = budgets.get(reservation.budget());
        return leases == null ? Optional.empty() : leases.find(reservation.leaseId());
    }

    /** Asks that a sidecar be recorded as one that may be given work. */
    public synchronized void announcePeer(String sidecarIncarnation) {
        peers.announce(sidecarIncarnation);
    }

    /** Notes that a sidecar is gone; its record is dropped once no lease from before is open. */
    public synchronized void retirePeer(String sidecarIncarnation, long nowMillis) {
        peers.retire(sidecarIncarnation, nowMillis);
    }

    /** Whether the table shows that this sidecar may be given work, so that a closer will ask it for receipts. */
    public synchronized boolean mayUse(String sidecarIncarnation) {
        return !fenced && peers.isRecorded(sidecarIncarnation);
    }

    /** Sets the configuration version that the entry's row reports. */
    public synchronized void reportConfigVersion(long version) {
        configVersion = version;
    }

    /** Tells operators where callers reach the entry, from the next heartbeat on. */
    public synchronized void reportAddress(String newAddress) {
        address = newAddress;
    }

    /** Forgets that a budget was used up, after a top-up. */
    public synchronized void toppedUp(String budget) {
        BudgetLeases leases = budgets.get(budget);
        if (leases != null) {
            leases.forgetUsedUp();
        }
    }

    /** Whether this incarnation was closed by another entry. */
    public synchronized boolean isFenced() {
        return fenced;
    }

    /** Whether a request waits for a lease or a sidecar for its record. */
    public synchronized boolean wantsPlanSoon() {
        boolean waiting = activeBudgets().anyMatch(BudgetLeases::hasShortfall);
        return pending != null || waiting || peers.hasChanges();
    }

    /** Tokens held in leases on a budget, free or set aside. */
    public synchronized long leasedTokens(String budget) {
        BudgetLeases leases = budgets.get(budget);
        return leases == null
                ? 0
                : leases.leases().stream()
                        .mapToLong(lease -> lease.granted() - lease.spent())
                        .sum();
    }

    /** Tokens of leases on a budget that new requests may use. */
    public synchronized long freeTokens(String budget) {
        BudgetLeases leases = budgets.get(budget);
        return leases == null ? 0 : leases.freeTokens();
    }

    /** Number of open leases. */
    public synchronized int openLeases() {
        return budgets.values().stream()
                .mapToInt(leases -> leases.leases().size())
                .sum();
    }

    /** Whether nothing is held in leases and no open plan can still bring one. */
    public synchronized boolean isSettled() {
        boolean mayArrive = pending != null && !pending.taken().isEmpty();
        return openLeases() == 0 && !mayArrive;
    }

    /** Drains every lease, for a planned stop; plans then settle them as attempts end. */
    public synchronized void drainAll() {
        stopping = true;
        budgets.values().forEach(BudgetLeases::drainAll);
    }

    /**
     * The next plan, or the open one again; empty if there is nothing to write yet. The first plan only creates the
     * entry's row: creating it is not fenced, so if it comes late, after the incarnation was closed, it must not bring
     * leases with it.
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
            draft.peersRow(peersRowVersion, new PeersRecord(peers.wanted()));
        }
        if (entryRowVersion != 0) {
            planBudgets(draft, nowMillis);
        }
        if (draft.onlyEntryRow() && entryRowVersion != 0 && !isHeartbeatDue(nowMillis)) {
            return Optional.empty();
        }
        peers.freeze();
        pending = draft.finish();
        return Optional.of(pending.plan());
    }

    private Stream<BudgetLeases> activeBudgets() {
        return active.stream().flatMap(name -> Optional.ofNullable(budgets.get(name)).stream());
    }

    /** At a heartbeat, and while the process stops, every budget is looked over. */
    private Set<String> budgetsToPlan(long nowMillis) {
        boolean all = isHeartbeatDue(nowMillis) || stopping;
        return all ? budgets.keySet() : active;
    }

    private boolean isDue(long nowMillis) {
        return isHeartbeatDue(nowMillis) || isUrgent(nowMillis);
    }

    private boolean isHeartbeatDue(long nowMillis) {
        return nowMillis - lastCommitMillis >= settings.heartbeat().toMillis();
    }

    /** What is not urgent waits for the next heartbeat and is written together with it. */
    private boolean isUrgent(long nowMillis) {
        boolean pause = nowMillis - lastCommitMillis < SHORTEST_PAUSE_MILLIS;
        return peers.hasChanges()
                || stopping
                || activeBudgets().anyMatch(leases -> leases.hasShortfall() || (!pause && leases.isUrgent(nowMillis)));
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
                active.remove(name);
            }
            if (all && leases.isForgettable(nowMillis)) {
                budgets.remove(name);
            }
        }
    }

    private void planBudget(String budget, BudgetLeases leases, TransactionDraft draft, long nowMillis) {
        leases.drainOldLeases(nowMillis);
        long back = 0;
        for (Lease lease : leases.leases()) {
            if (!draft.hasRoom() || !settling) {
                break;
            }
            if (lease.draining() && lease.quiet() && draft.fits(lease)) {
                back += draft.settle(budget, lease);
            } else if (lease.canShrink()) {
                back += draft.shrink(lease);
            }
        }
        long take = leases.tokensToTake(nowMillis);
        if (take > 0) {
            draft.take(budget, incarnation + "/" + Long.toString(++leaseCounter, Character.MAX_RADIX), take);
        }
        draft.moveRemaining(budget, back - take);
    }

    /**
     * Notes that the open plan got no answer. It stays open; but if it was to create the entry's row, the incarnation
     * is
     * given up: it holds nothing yet, and creating the row again after somebody has closed it would bring a closed
     * incarnation back.
     */
    public synchronized void noAnswer() {
        if (entryRowVersion == 0) {
            fenced = true;
        }
    }

    /** Gives this incarnation up, because a sidecar was told that it is closed. */
    public synchronized void giveUp() {
        fenced = true;
    }

    /** Drops the open plan, which must not have been sent to the table. */
    public synchronized void abandonUnsent() {
        requirePending().thaw();
        pending = null;
        sequence++;
    }

    /** Whether plans settle leases; not while their bills can't be written. */
    public synchronized void allowSettling(boolean allowed) {
        settling = allowed;
    }

    /**
     * Budgets whose remaining tokens should be read before the next plan. Looking costs a read, trying in vain a
     * transaction.
     */
    public synchronized List<String> budgetsToLookAt(long nowMillis) {
        if (pending != null || fenced || entryRowVersion == 0 || !isDue(nowMillis)) {
            return List.of();
        }
        return budgetsToPlan(nowMillis).stream()
                .filter(name -> budgets.containsKey(name) && budgets.get(name).wantsLook(nowMillis))
                .limit(MAX_LOOKS)
                .toList();
    }

    /** Takes in what a look showed as remaining of a budget. */
    public synchronized void lookedAt(String budget, long remaining, long nowMillis) {
        BudgetLeases leases = budgets.get(budget);
        if (leases != null) {
            leases.noteLook(remaining, nowMillis);
        }
    }

    /** Takes in the table's answer to the open plan. */
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
        open.thaw();
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
        boolean ours = failure.current()
                .map(row -> RowText.read(row.text(), EntryRecord.class))
                .filter(record -> record.state() == EntryRecord.State.OPEN)
                .map(record ->
                        record.transactionId().equals(open.plan().transaction().id()))
                .orElse(false);
        if (ours) {
            return new LedgerStep.ReadBack(open.writtenKeys());
        }
        fenced = true;
        return new LedgerStep.FencedOff();
    }

    /** Takes in the rows of a plan whose earlier try is known to have taken effect. */
    public synchronized LedgerStep resolveReadBack(List<Row> rows, long nowMillis) {
        return applied(requirePending(), rows, nowMillis);
    }

    private PlannedTransaction requirePending() {
        if (pending == null) {
            throw new IllegalStateException("no plan is open");
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
        open.settledLeases().forEach(this::forget);
        open.shrunk().forEach(lease -> applyShrink(lease, byKey));
        open.thaw();
        open.taken().forEach(taken -> applyTake(taken, byKey, nowMillis));
        budgets.forEach((name, leases) -> {
            Row remaining = byKey.get(RowKeys.remaining(name));
            if (remaining != null) {
                leases.noteRemaining(remaining.amount(), nowMillis);
            }
        });
        return new LedgerStep.Done(open.plan());
    }

    private void forget(Lease settled) {
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
        leases.noteTaken();
    }

    /** Leases whose receipts a sidecar must keep for now; all others of this incarnation are settled. */
    public synchronized Set<String> openLeaseIds() {
        Set<String> ids = new HashSet<>();
        budgets.values().stream()
                .map(BudgetLeases::leases)
                .flatMap(Collection::stream)
                .forEach(lease -> ids.add(lease.id()));
        return ids;
    }

    /** Reservations in doubt that wait for this sidecar's receipts. */
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
