package org.streamring.direct.ledger;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.limit.ConflictBackoff;
import org.streamring.kernel.prepaid.DurableCapRise;
import org.streamring.kernel.prepaid.DurableCapRise.RiseStart;
import org.streamring.kernel.prepaid.HomeEntries;
import org.streamring.kernel.prepaid.Mark;
import org.streamring.kernel.prepaid.MarkRow;
import org.streamring.kernel.prepaid.PrepaidLedger;
import org.streamring.kernel.prepaid.PrepaidRow;
import org.streamring.kernel.prepaid.RenewalInterval;
import org.streamring.kernel.route.RouteTable;
import org.streamring.kernel.store.CommitResult;
import org.streamring.kernel.store.RowChange;
import org.streamring.kernel.store.RowStore;
import org.streamring.kernel.store.StoreException;
import org.streamring.kernel.store.StorePosition;
import org.streamring.model.route.PrepaidAccount;

/**
 * Writes the leases of prepaid tokens to the store. One transaction at a time covers all accounts of this entry and the
 * usage caps of this box. Confined to the event loop.
 */
final class LeaseRenewer implements LeaseReader.Listener {
    private static final long URGENT_DELAY_MILLIS = 5;
    private static final long WATCH_INTERVAL_MILLIS = 50;
    private static final long WRITE_TIMEOUT_MILLIS = 700;
    private static final long CLOSE_RETRY_MILLIS = 10;

    private static final int MAX_ACCOUNTS_PER_WRITE = 90;

    private final EventLoop loop;
    private final RowStore store;
    private final PrepaidLedger ledger;
    private final LeaseRows rows;
    private final Supplier<Optional<RouteTable>> routes;
    private final HomeEntries homeEntries;
    private final IntSupplier entries;
    private final LongSupplier clock;
    private final Witnesses witnesses;
    private final GrantCopies copies;
    private final LongSupplier era;
    private final PredecessorLeases predecessor;
    private final DecisionLog log;
    private final Listener listener;
    private final LeaseReader reader;
    private final RowRecovery recovery;
    private final ConflictBackoff backoff;
    private final SettlementSchedule settlementSchedule;
    private boolean writing;
    /** Whether a renewal was requested during the write in progress, which does not include it. */
    private boolean renewAgainSoon;

    private @Nullable Future<?> nextTick;
    private long nextTickMillis;
    private boolean stopping;
    private boolean storeUnreachable;
    private boolean renewedOnce;
    /** Leases of a predecessor that the write in progress reclaims. */
    private ReclaimedLeases reclaimed = ReclaimedLeases.NOTHING;

    private long writeSentMillis;
    private final DurableCapRise rise = new DurableCapRise();
    private long anchorStoreMillis;
    private long anchorLocalMillis;

    /** Receives the results of writes. */
    interface Listener {
        /** Called when leases or rows have changed. */
        void renewed();

        /** Called when the store stops answering. */
        void storeLost();
    }

    /**
     * Creates a renewer; nothing is read or written before {@link #start}.
     *
     * @param era returns the current era of the store
     * @param mayHavePeers returns whether other entries may be live
     * @param clock milliseconds since this process started, on a monotonic clock
     * @param processAge milliseconds since the JVM of this process began to start
     */
    LeaseRenewer(
            EventLoop loop,
            RowStore store,
            PrepaidLedger ledger,
            LeaseRows rows,
            Supplier<Optional<RouteTable>> routes,
            HomeEntries homeEntries,
            IntSupplier entries,
            Witnesses witnesses,
            GrantCopies copies,
            LongSupplier era,
            BooleanSupplier mayHavePeers,
            LongSupplier clock,
            LongSupplier processAge,
            Random random,
            DecisionLog log,
            Listener listener) {
        this.loop = loop;
        this.store = store;
        this.ledger = ledger;
        this.rows = rows;
        this.routes = routes;
        this.homeEntries = homeEntries;
        this.entries = entries;
        this.witnesses = witnesses;
        this.copies = copies;
        this.era = era;
        this.predecessor = new PredecessorLeases(ledger, witnesses, clock, processAge, log);
        this.clock = clock;
        this.log = log;
        this.listener = listener;
        this.reader = new LeaseReader(loop, store, rows, clock, this);
        this.recovery = new RowRecovery(loop, reader, rows, copies, era, mayHavePeers, clock, log);
        this.backoff = new ConflictBackoff(random);
        this.settlementSchedule = new SettlementSchedule(random);
    }

    void start() {
        reader.read();
        loop.scheduleAtFixedRate(this::watchStore, WATCH_INTERVAL_MILLIS, WATCH_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns whether at least one write of leases was committed since the start. */
    boolean renewedOnce() {
        return renewedOnce;
    }

    /** Returns whether the store is currently not answering. */
    boolean storeUnreachable() {
        return storeUnreachable;
    }

    /** Returns the milliseconds until tokens above the usage caps may be used if the store remains unreachable. */
    long silenceTimeoutLeftMillis() {
        return Math.max(0, ledger.settings().silenceTimeout().toMillis() - millisSinceConfirmedWrite());
    }

    /** Returns the milliseconds for which the usage caps have been rising since the last confirmed write. */
    private long millisSinceConfirmedWrite() {
        return clock.getAsLong() - rise.usable().localMillis();
    }

    /**
     * Writes nothing until the other entries have told what they know of the rows, because the store was restored from
     * an older copy. Tokens of confirmed leases remain usable meanwhile.
     */
    void storeRestored() {
        predecessor.storeRestored();
        recovery.storeRestored();
    }

    /** Schedules a write as soon as possible, ahead of a later one that is already scheduled. */
    void renewSoon() {
        renewAgainSoon |= writing;
        schedule(URGENT_DELAY_MILLIS);
    }

    /** Stops taking tokens, and from now on returns those that no request uses or waits for. */
    void release() {
        ledger.releaseUnused();
        renewSoon();
    }

    /**
     * Returns all unspent tokens to the store. The future completes when the store has confirmed it or did not answer.
     */
    CompletableFuture<Void> close() {
        stopping = true;
        reader.stop();
        CompletableFuture<Void> closed = new CompletableFuture<>();
        closeWhenIdle(closed);
        return closed;
    }

    private void closeWhenIdle(CompletableFuture<Void> closed) {
        if (closed.isDone()) {
            return;
        }
        if (writing) {
            loop.schedule(() -> closeWhenIdle(closed), CLOSE_RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        List<PrepaidLedger.Proposal> proposals = ledger.accounts().stream()
                .filter(account ->
                        rows.account(account).holding(ledger.incarnation()).isPresent())
                .map(account -> ledger.planClose(account, rows.account(account)))
                .toList();
        if (proposals.isEmpty() || recovery.inProgress() || !reader.rowsLoaded()) {
            closed.complete(null);
            return;
        }
        write(proposals).whenComplete((committed, failure) -> {
            if (failure == null && !committed) {
                closeWhenIdle(closed);
            } else {
                closed.complete(null);
            }
        });
    }

    @Override
    public void readAnswered(long storeMillis, long sentMillis) {
        predecessor.startedBefore(storeMillis - sentMillis);
    }

    @Override
    public void rowsRead(long storeMillis) {
        storeAnswered(storeMillis);
        if (recovery.rowsRead()) {
            renewSoon();
        }
    }

    @Override
    public void readFailed(Throwable failure) {
        storeFailed(failure);
    }

    private void renewLater() {
        schedule(RenewalInterval.millis(
                homeEntries.isHolder(), homeEntries.holders().size(), entries.getAsInt()));
    }

    private void schedule(long delayMillis) {
        long dueMillis = clock.getAsLong() + delayMillis;
        if (nextTick != null && nextTickMillis <= dueMillis) {
            return;
        }
        if (nextTick != null) {
            nextTick.cancel(false);
        }
        nextTickMillis = dueMillis;
        nextTick = loop.schedule(this::tick, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        nextTick = null;
        if (writing || stopping) {
            return;
        }
        if (recovery.inProgress() || !reader.rowsLoaded()) {
            renewLater();
            return;
        }
        if (!renewedOnce) {
            predecessor.usageCapsRead(rows.usageCaps(), era.getAsLong());
            predecessor.logOnce();
        }
        predecessor.askWitnesses();
        ledger.sample(clock.getAsLong());
        List<PrepaidLedger.Proposal> proposals = plan();
        if (proposals.isEmpty()) {
            renewLater();
            return;
        }
        write(proposals);
    }

    private List<PrepaidLedger.Proposal> plan() {
        reclaimed = ReclaimedLeases.NOTHING;
        List<PrepaidLedger.Proposal> proposals = new ArrayList<>();
        Optional<RouteTable> table = routes.get();
        if (table.isEmpty()) {
            return proposals;
        }
        int maxAccountsOfOthers =
                homeEntries.allAreHomes() ? Integer.MAX_VALUE : settlementSchedule.maxAccounts(clock.getAsLong());
        for (PrepaidAccount account : table.get().configuration().accounts()) {
            if (account.prepaid().isPresent() && proposals.size() < MAX_ACCOUNTS_PER_WRITE) {
                PrepaidRow row = rows.account(account.name())
                        .withLimit(account.prepaid().getAsLong(), table.get().version());
                boolean settles = homeEntries.isHome(account.name()) || reclaimed.accounts() < maxAccountsOfOthers;
                proposals.add(plan(account.name(), row, settles));
            }
        }
        return proposals;
    }

    private PrepaidLedger.Proposal plan(String account, PrepaidRow row, boolean settles) {
        PrepaidRow rowToWrite = settles ? predecessor.removeFrom(account, row) : row;
        if (!rowToWrite.equals(row)) {
            reclaimed = reclaimed.plus(row, rowToWrite);
        }
        PrepaidLedger.Proposal proposal = homeEntries.isHome(account)
                ? ledger.plan(account, rowToWrite, homeEntries.of(account).size(), homeEntries.shape())
                : ledger.planNonHome(account, rowToWrite);
        boolean mustWrite = !rowToWrite.equals(row) || (rows.hasLostChanges(account) && isWriter(account));
        return mustWrite ? proposal.orElseWrite(rowToWrite) : proposal;
    }

    private boolean isWriter(String account) {
        return homeEntries.isHome(account)
                || rows.account(account).holding(ledger.incarnation()).isPresent();
    }

    private CompletableFuture<Boolean> write(List<PrepaidLedger.Proposal> proposals) {
        Map<String, PrepaidRow> changed = new HashMap<>();
        Map<String, Mark> usageCaps = new HashMap<>();
        Map<String, Long> grown = new HashMap<>();
        for (PrepaidLedger.Proposal proposal : proposals) {
            if (proposal.granted() > ledger.granted(proposal.account())) {
                grown.put(proposal.account(), proposal.granted());
            }
            proposal.row().ifPresent(row -> changed.put(proposal.account(), row));
            usageCaps.put(proposal.account(), proposal.cap());
        }
        Set<String> witnessIds = witnesses.choose(ledger.witnesses().usable());
        proposals.forEach(ledger::proposed);
        ledger.witnesses().proposed(witnessIds);
        long releaseMillis = homeEntries.shape().release().toMillis();
        ledger.release().proposed(releaseMillis);
        long sentMillis = clock.getAsLong();
        RiseStart start = rise.proposed(new RiseStart(sentMillis, anchorStoreMillis + sentMillis - anchorLocalMillis));
        updateStoreSilence();
        MarkRow usageCapRow = new MarkRow(
                ledger.incarnation(), start.storeMillis(), usageCaps, witnessIds, releaseMillis, era.getAsLong());
        return commit(changed, usageCapRow, grown).whenComplete((committed, failure) -> {
            if (failure != null) {
                boolean nothingDone = failure instanceof StoreException store && store.hasNoEffect();
                notConfirmed(proposals, nothingDone);
            } else {
                if (committed) {
                    proposals.forEach(ledger::confirmed);
                    ledger.witnesses().confirmed(witnessIds);
                    ledger.release().confirmed(releaseMillis);
                    rise.confirmed();
                    updateStoreSilence();
                    predecessor.logReclaimed(reclaimed);
                } else {
                    notConfirmed(proposals, true);
                }
                renewedOnce |= committed;
                listener.renewed();
                scheduleNext(committed);
            }
        });
    }

    private void notConfirmed(List<PrepaidLedger.Proposal> proposals, boolean nothingDone) {
        if (nothingDone) {
            proposals.forEach(ledger::refused);
            ledger.witnesses().refused();
            ledger.release().refused();
            rise.refused();
        } else {
            proposals.forEach(ledger::outcomeUnknown);
            ledger.witnesses().outcomeUnknown();
            ledger.release().outcomeUnknown();
            rise.outcomeUnknown();
        }
    }

    private void scheduleNext(boolean committed) {
        if (committed && renewAgainSoon) {
            backoff.committed();
            schedule(URGENT_DELAY_MILLIS);
        } else if (committed) {
            backoff.committed();
            renewLater();
        } else {
            schedule(backoff.conflicted(homeEntries.holders().size()));
        }
    }

    private CompletableFuture<Boolean> commit(
            Map<String, PrepaidRow> changed, MarkRow usageCaps, Map<String, Long> grown) {
        writing = true;
        renewAgainSoon = false;
        writeSentMillis = clock.getAsLong();
        List<RowChange> changes = new ArrayList<>();
        changed.forEach((account, row) -> changes.add(rows.accountChange(account, row)));
        changes.add(rows.usageCapsChange(usageCaps));
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        store.commit(changes).whenComplete((answer, failure) -> {
            if (failure != null) {
                writing = false;
                result.completeExceptionally(failure);
                storeFailed(failure);
                reader.readAgainLater();
                return;
            }
            storeAnswered(answer.storeMillis());
            applyResult(answer, changed, usageCaps);
            if (answer.committed() && !grown.isEmpty()) {
                keepCopies(grown, answer.position(), result);
            } else {
                writing = false;
                result.complete(answer.committed());
            }
        });
        return result;
    }

    /** Completes the write once another entry keeps the grants that have grown. */
    private void keepCopies(Map<String, Long> grown, StorePosition position, CompletableFuture<Boolean> result) {
        writeSentMillis = clock.getAsLong();
        copies.keep(grown, position).thenAccept(kept -> {
            writing = false;
            if (kept) {
                result.complete(true);
            } else {
                result.completeExceptionally(new StoreException("keep grants at other entries", "no answer", false));
                log.line("grants_not_kept", "accounts", grown.size());
                renewLater();
            }
        });
    }

    private void applyResult(CommitResult answer, Map<String, PrepaidRow> changed, MarkRow usageCaps) {
        if (answer.committed()) {
            rows.cacheWritten(changed, usageCaps, answer.position());
        } else {
            logConflict(rows.outdated(answer.current()), changed.size());
            rows.cacheConflict(
                    changed.keySet(), answer.current(), answer.position().era());
        }
    }

    private void logConflict(List<String> outdated, int rowsInWrite) {
        log.line(
                "write_conflicted",
                "accounts",
                String.join(",", outdated),
                "rows_in_write",
                rowsInWrite,
                "unconfirmed_ms",
                millisSinceConfirmedWrite());
    }

    private void storeAnswered(long storeMillis) {
        anchorStoreMillis = storeMillis;
        anchorLocalMillis = clock.getAsLong();
        if (storeUnreachable) {
            storeUnreachable = false;
            log.line("store_regained", "by", "ledger");
        }
    }

    private void storeFailed(Throwable failure) {
        if (!storeUnreachable) {
            storeUnreachable = true;
            log.line("store_lost", "by", "ledger", "reason", String.valueOf(failure.getMessage()));
            listener.storeLost();
        }
    }

    private void watchStore() {
        long now = clock.getAsLong();
        if (writing && now - writeSentMillis > WRITE_TIMEOUT_MILLIS) {
            storeFailed(new StoreException("renew leases", "no answer within 700 ms", false));
        }
        if (renewedOnce) {
            updateStoreSilence();
        }
    }

    private void updateStoreSilence() {
        long now = clock.getAsLong();
        ledger.setTimeSinceConfirmedWrite(
                now - rise.usable().localMillis(), now - rise.inForce().localMillis());
    }
}
