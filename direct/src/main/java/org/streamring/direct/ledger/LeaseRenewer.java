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
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.limit.ConflictBackoff;
import org.streamring.kernel.prepaid.AccountHomes;
import org.streamring.kernel.prepaid.DurableRise;
import org.streamring.kernel.prepaid.DurableRise.RiseStart;
import org.streamring.kernel.prepaid.Mark;
import org.streamring.kernel.prepaid.MarkRow;
import org.streamring.kernel.prepaid.PrepaidBook;
import org.streamring.kernel.prepaid.PrepaidRow;
import org.streamring.kernel.prepaid.RenewalPace;
import org.streamring.kernel.route.RouteTable;
import org.streamring.kernel.store.CommitResult;
import org.streamring.kernel.store.RowChange;
import org.streamring.kernel.store.RowStore;
import org.streamring.kernel.store.StoreException;
import org.streamring.model.route.PrepaidAccount;

/**
 * Keeps the leases of prepaid tokens in the store: all accounts of this entry in one transaction at a time, each
 * with this box's marks. Confined to the event loop.
 */
final class LeaseRenewer implements LeaseReader.Listener {
    private static final long URGENT_MILLIS = 5;
    private static final long WATCH_MILLIS = 50;
    private static final long STORE_SILENT_MILLIS = 700;
    private static final long CLOSE_RETRY_MILLIS = 10;

    private static final int MAX_CHANGES = 90;

    private final EventLoop loop;
    private final RowStore store;
    private final PrepaidBook book;
    private final LeaseRows rows;
    private final Supplier<Optional<RouteTable>> routes;
    private final AccountHomes homes;
    private final IntSupplier entries;
    private final LongSupplier clock;
    private final Witnesses witnesses;
    private final PredecessorLeases predecessor;
    private final DecisionLog log;
    private final Listener listener;
    private final LeaseReader reader;
    private final ConflictBackoff backoff;
    private final SettlementTurns turns;
    private boolean writing;
    /** A request came during the write in progress, which was planned without it. */
    private boolean againSoon;

    private @Nullable Future<?> nextTick;
    private long nextTickMillis;
    private boolean stopping;
    private boolean away;
    private boolean renewedOnce;
    /** What the write in progress takes back of a predecessor's leases. */
    private TakenBack takenBack = TakenBack.NOTHING;

    private long writeSentMillis;
    private final DurableRise rise = new DurableRise();
    private long anchorStoreMillis;
    private long anchorLocalMillis;

    /** Hears what the store decided. */
    interface Listener {
        /** Leases or rows have changed. */
        void renewed();

        /** The store does not answer. */
        void storeLost();
    }

    /**
     * Creates one; nothing happens before {@link #start}.
     *
     * @param clock milliseconds since this process began, on a steady clock
     * @param processAge milliseconds since the runtime of this process began to start
     */
    LeaseRenewer(
            EventLoop loop,
            RowStore store,
            PrepaidBook book,
            LeaseRows rows,
            Supplier<Optional<RouteTable>> routes,
            AccountHomes homes,
            IntSupplier entries,
            Witnesses witnesses,
            LongSupplier clock,
            LongSupplier processAge,
            Random random,
            DecisionLog log,
            Listener listener) {
        this.loop = loop;
        this.store = store;
        this.book = book;
        this.rows = rows;
        this.routes = routes;
        this.homes = homes;
        this.entries = entries;
        this.witnesses = witnesses;
        this.predecessor = new PredecessorLeases(book, witnesses, clock, processAge, log);
        this.clock = clock;
        this.log = log;
        this.listener = listener;
        this.reader = new LeaseReader(loop, store, rows, clock, this);
        this.backoff = new ConflictBackoff(random);
        this.turns = new SettlementTurns(random);
    }

    void start() {
        reader.read();
        loop.scheduleAtFixedRate(this::watchStore, WATCH_MILLIS, WATCH_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Whether leases were written once since the start. */
    boolean renewedOnce() {
        return renewedOnce;
    }

    /** Whether the store does not answer at the moment. */
    boolean away() {
        return away;
    }

    /** Milliseconds until tokens beyond the marks may be used if the store stays silent. */
    long patienceLeftMillis() {
        return Math.max(0, book.settings().patience().toMillis() - silentMillis());
    }

    /** Time for which the marks have been rising. */
    private long silentMillis() {
        return clock.getAsLong() - rise.usable().localMillis();
    }

    /** Writes as soon as possible, also where a later write is planned already. */
    void renewSoon() {
        againSoon |= writing;
        schedule(URGENT_MILLIS);
    }

    /** Gives back, from now on, what no request uses or waits for. */
    void release() {
        book.stopTaking();
        renewSoon();
    }

    /** Gives back all that is not spent; complete when the store said so or did not answer. */
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
        List<PrepaidBook.Proposal> proposals = book.accounts().stream()
                .filter(account ->
                        rows.account(account).holding(book.incarnation()).isPresent())
                .map(account -> book.planClose(account, rows.account(account)))
                .toList();
        if (proposals.isEmpty() || !reader.listed()) {
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
        answered(storeMillis);
        renewSoon();
    }

    @Override
    public void readFailed(Throwable failure) {
        noAnswer(failure);
    }

    private void renewLater() {
        schedule(RenewalPace.millis(homes.isHolder(), homes.holders().size(), entries.getAsInt()));
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
        if (!reader.listed()) {
            renewLater();
            return;
        }
        if (!renewedOnce) {
            predecessor.marksRead(rows.marks());
            predecessor.logOnce();
        }
        predecessor.askWitnesses();
        book.sample(clock.getAsLong());
        List<PrepaidBook.Proposal> proposals = plan();
        if (proposals.isEmpty()) {
            renewLater();
            return;
        }
        write(proposals);
    }

    private List<PrepaidBook.Proposal> plan() {
        takenBack = TakenBack.NOTHING;
        List<PrepaidBook.Proposal> proposals = new ArrayList<>();
        Optional<RouteTable> table = routes.get();
        if (table.isEmpty()) {
            return proposals;
        }
        int othersToSettle = homes.allAreHomes() ? Integer.MAX_VALUE : turns.accounts(clock.getAsLong());
        for (PrepaidAccount account : table.get().configuration().accounts()) {
            if (account.prepaid().isPresent() && proposals.size() < MAX_CHANGES) {
                PrepaidRow row = rows.account(account.name())
                        .withLimit(account.prepaid().getAsLong(), table.get().version());
                boolean settles = homes.isHome(account.name()) || takenBack.accounts() < othersToSettle;
                proposals.add(plan(account.name(), row, settles));
            }
        }
        return proposals;
    }

    private PrepaidBook.Proposal plan(String account, PrepaidRow row, boolean settles) {
        PrepaidRow own = settles ? predecessor.without(account, row) : row;
        if (!own.equals(row)) {
            takenBack = takenBack.plus(row, own);
        }
        PrepaidBook.Proposal proposal = homes.isHome(account)
                ? book.plan(account, own, homes.of(account).size(), homes.shape())
                : book.planBorrower(account, own);
        return own.equals(row) ? proposal : proposal.orElseWrite(own);
    }

    private CompletableFuture<Boolean> write(List<PrepaidBook.Proposal> proposals) {
        Map<String, PrepaidRow> changed = new HashMap<>();
        Map<String, Mark> marks = new HashMap<>();
        for (PrepaidBook.Proposal proposal : proposals) {
            proposal.row().ifPresent(row -> changed.put(proposal.account(), row));
            marks.put(proposal.account(), proposal.mark());
        }
        Set<String> named = witnesses.choose(book.witnesses().usable());
        proposals.forEach(book::proposed);
        book.witnesses().proposed(named);
        long releaseMillis = homes.shape().release().toMillis();
        book.release().proposed(releaseMillis);
        long sentMillis = clock.getAsLong();
        RiseStart start = rise.proposed(new RiseStart(sentMillis, anchorStoreMillis + sentMillis - anchorLocalMillis));
        sayHowLongSilent();
        MarkRow marksRow = new MarkRow(book.incarnation(), start.storeMillis(), marks, named, releaseMillis);
        return commit(changed, marksRow).whenComplete((committed, failure) -> {
            if (failure != null) {
                boolean nothingDone = failure instanceof StoreException store && store.nothingDone();
                notConfirmed(proposals, nothingDone);
            } else {
                if (committed) {
                    proposals.forEach(book::confirmed);
                    book.witnesses().confirmed(named);
                    book.release().confirmed(releaseMillis);
                    rise.confirmed();
                    sayHowLongSilent();
                    predecessor.tookBack(takenBack);
                } else {
                    notConfirmed(proposals, true);
                }
                renewedOnce |= committed;
                listener.renewed();
                scheduleNext(committed);
            }
        });
    }

    private void notConfirmed(List<PrepaidBook.Proposal> proposals, boolean nothingDone) {
        if (nothingDone) {
            proposals.forEach(book::refused);
            book.witnesses().refused();
            book.release().refused();
            rise.refused();
        } else {
            proposals.forEach(book::unanswered);
            book.witnesses().unanswered();
            book.release().unanswered();
            rise.unanswered();
        }
    }

    private void scheduleNext(boolean committed) {
        if (committed && againSoon) {
            backoff.committed();
            schedule(URGENT_MILLIS);
        } else if (committed) {
            backoff.committed();
            renewLater();
        } else {
            schedule(backoff.conflicted(homes.holders().size()));
        }
    }

    private CompletableFuture<Boolean> commit(Map<String, PrepaidRow> changed, MarkRow marks) {
        writing = true;
        againSoon = false;
        writeSentMillis = clock.getAsLong();
        List<RowChange> changes = new ArrayList<>();
        changed.forEach((account, row) -> changes.add(rows.accountChange(account, row)));
        changes.add(rows.marksChange(marks));
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        store.commit(changes).whenComplete((answer, failure) -> {
            writing = false;
            if (failure != null) {
                result.completeExceptionally(failure);
                noAnswer(failure);
                reader.readAgainLater();
                return;
            }
            answered(answer.storeMillis());
            take(answer, changed, marks);
            result.complete(answer.committed());
        });
        return result;
    }

    private void take(CommitResult answer, Map<String, PrepaidRow> changed, MarkRow marks) {
        if (answer.committed()) {
            rows.written(changed, marks, answer.version());
        } else {
            logConflict(rows.outdated(answer.current()), changed.size());
            rows.takeAll(answer.current());
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
                silentMillis());
    }

    private void answered(long storeMillis) {
        anchorStoreMillis = storeMillis;
        anchorLocalMillis = clock.getAsLong();
        if (away) {
            away = false;
            log.line("store_regained", "by", "ledger");
        }
    }

    private void noAnswer(Throwable failure) {
        if (!away) {
            away = true;
            log.line("store_lost", "by", "ledger", "reason", String.valueOf(failure.getMessage()));
            listener.storeLost();
        }
    }

    private void watchStore() {
        long now = clock.getAsLong();
        if (writing && now - writeSentMillis > STORE_SILENT_MILLIS) {
            noAnswer(new StoreException("renew leases", "no answer for long", false));
        }
        if (renewedOnce) {
            sayHowLongSilent();
        }
    }

    private void sayHowLongSilent() {
        long now = clock.getAsLong();
        book.storeSilentFor(
                now - rise.usable().localMillis(), now - rise.inForce().localMillis());
    }
}
