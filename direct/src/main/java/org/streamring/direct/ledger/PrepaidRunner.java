package org.streamring.direct.ledger;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.request.TokenSource;
import org.streamring.kernel.prepaid.PrepaidBook;
import org.streamring.kernel.prepaid.PrepaidRow;
import org.streamring.kernel.route.RouteTable;
import org.streamring.kernel.store.CommitResult;
import org.streamring.kernel.store.RowChange;
import org.streamring.kernel.store.RowKey;
import org.streamring.kernel.store.RowStore;
import org.streamring.kernel.store.StoreException;
import org.streamring.kernel.store.StoredRow;
import org.streamring.model.route.PrepaidAccount;

/**
 * Keeps the leases of prepaid tokens in the store, all accounts in one transaction at a time.
 *
 * <p>Requests that find their lease too small wait for the next transaction, as long as the store answers. Confined to the
 * event loop.
 */
public final class PrepaidRunner implements TokenSource {
    private static final String TABLE = "streamring-prepaid";
    private static final long BASE_INTERVAL_MILLIS = 400;
    private static final long INTERVAL_PER_ENTRY_MILLIS = 15;
    private static final long URGENT_MILLIS = 5;
    private static final long LONGEST_WAIT_MILLIS = 250;
    private static final long STORE_SILENT_MILLIS = 1_500;
    private static final int MAX_CHANGES = 90;

    private final EventLoop loop;
    private final RowStore store;
    private final PrepaidBook book;
    private final Supplier<Optional<RouteTable>> routes;
    private final IntSupplier entries;
    private final LongSupplier clock;
    private final DecisionLog log;
    private final Map<String, Cached> rows = new HashMap<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private boolean listed;
    private boolean writing;
    private boolean tickScheduled;
    private boolean stopping;
    private boolean away;
    private long answeredMillis;

    private record Cached(PrepaidRow row, long version) {}

    /** Creates one; nothing happens before {@link #start}. */
    public PrepaidRunner(
            EventLoop loop,
            RowStore store,
            PrepaidBook book,
            Supplier<Optional<RouteTable>> routes,
            IntSupplier entries,
            LongSupplier clock,
            DecisionLog log) {
        this.loop = loop;
        this.store = store;
        this.book = book;
        this.routes = routes;
        this.entries = entries;
        this.clock = clock;
        this.log = log;
    }

    /** Starts to read and renew. */
    public void start() {
        answeredMillis = clock.getAsLong();
        readAll();
        loop.scheduleAtFixedRate(this::expireWaiters, 50, 50, TimeUnit.MILLISECONDS);
    }

    @Override
    public Pending reserve(String account, long tokens, Consumer<Outcome> then) {
        if (book.reserve(account, tokens) == PrepaidBook.Outcome.RESERVED) {
            then.accept(Outcome.RESERVED);
            return () -> {};
        }
        Waiter waiter = new Waiter(account, tokens, then);
        if (away || stopping) {
            waiter.end(Outcome.UNAVAILABLE, "store_away");
            return () -> {};
        }
        waiters.add(waiter);
        book.addWaiting(account, tokens);
        renewSoon();
        return waiter::cancel;
    }

    @Override
    public void settle(String account, long reserved, long used) {
        book.settle(account, reserved, used);
        serveWaiters(account);
    }

    /** Gives back all that is not spent; the result is complete when the store said so or did not answer. */
    public java.util.concurrent.CompletableFuture<Void> close() {
        stopping = true;
        java.util.concurrent.CompletableFuture<Void> closed = new java.util.concurrent.CompletableFuture<>();
        closeWhenIdle(closed);
        return closed;
    }

    private void closeWhenIdle(java.util.concurrent.CompletableFuture<Void> closed) {
        if (writing) {
            loop.schedule(() -> closeWhenIdle(closed), 10, TimeUnit.MILLISECONDS);
            return;
        }
        List<PrepaidBook.Proposal> proposals = book.accounts().stream()
                .filter(rows::containsKey)
                .map(account -> book.planClose(account, cached(account).row()))
                .toList();
        write(proposals, closed);
    }

    private void readAll() {
        store.list(TABLE, "").whenComplete((page, failure) -> {
            if (failure != null) {
                noAnswer(failure);
                loop.schedule(this::readAll, BASE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
                return;
            }
            answered();
            listed = true;
            page.rows().forEach(this::take);
            renewSoon();
        });
    }

    private void take(StoredRow row) {
        Optional<PrepaidRow> read = PrepaidRowCodec.read(row.value());
        if (read.isPresent()) {
            rows.put(row.key().key(), new Cached(read.get(), row.version()));
        } else {
            log.line("row_unreadable", "table", TABLE, "key", row.key().key(), "version", row.version());
        }
    }

    private void renewSoon() {
        if (!tickScheduled) {
            tickScheduled = true;
            loop.schedule(this::tick, URGENT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void renewLater() {
        if (!tickScheduled) {
            tickScheduled = true;
            long interval = BASE_INTERVAL_MILLIS + INTERVAL_PER_ENTRY_MILLIS * entries.getAsInt();
            loop.schedule(this::tick, interval, TimeUnit.MILLISECONDS);
        }
    }

    private void tick() {
        tickScheduled = false;
        if (writing || stopping) {
            return;
        }
        if (!listed) {
            renewLater();
            return;
        }
        book.sample(clock.getAsLong());
        List<PrepaidBook.Proposal> proposals = plan();
        if (proposals.isEmpty()) {
            renewLater();
            return;
        }
        write(proposals, null);
    }

    private List<PrepaidBook.Proposal> plan() {
        List<PrepaidBook.Proposal> proposals = new ArrayList<>();
        Optional<RouteTable> table = routes.get();
        if (table.isEmpty()) {
            return proposals;
        }
        for (PrepaidAccount account : table.get().configuration().accounts()) {
            OptionalLong prepaid = account.prepaid();
            if (prepaid.isPresent() && proposals.size() < MAX_CHANGES) {
                PrepaidRow row = cached(account.name())
                        .row()
                        .withLimit(prepaid.getAsLong(), table.get().version());
                book.plan(account.name(), row, entries.getAsInt()).ifPresent(proposals::add);
            }
        }
        return proposals;
    }

    private Cached cached(String account) {
        return rows.getOrDefault(account, new Cached(PrepaidRow.EMPTY, 0));
    }

    private void write(
            List<PrepaidBook.Proposal> proposals,
            java.util.concurrent.@org.jspecify.annotations.Nullable CompletableFuture<Void> closed) {
        writing = true;
        List<RowChange> changes = proposals.stream()
                .map(each -> new RowChange(
                        keyOf(each.account()), cached(each.account()).version(), PrepaidRowCodec.write(each.row())))
                .toList();
        if (changes.isEmpty()) {
            writing = false;
            complete(closed);
            return;
        }
        proposals.forEach(book::proposed);
        store.commit(changes).whenComplete((result, failure) -> {
            writing = false;
            if (failure != null) {
                uncertain(proposals, failure);
            } else {
                decided(proposals, result);
            }
            if (closed != null && failure == null && !result.committed()) {
                closeWhenIdle(closed);
            } else {
                complete(closed);
            }
        });
    }

    private static void complete(
            java.util.concurrent.@org.jspecify.annotations.Nullable CompletableFuture<Void> closed) {
        if (closed != null) {
            closed.complete(null);
        }
    }

    private void decided(List<PrepaidBook.Proposal> proposals, CommitResult result) {
        answered();
        if (result.committed()) {
            for (PrepaidBook.Proposal proposal : proposals) {
                book.confirmed(proposal);
                rows.put(proposal.account(), new Cached(proposal.row(), result.version()));
            }
        } else {
            proposals.forEach(book::refused);
            result.current().forEach(this::take);
        }
        Set<String> accounts = new HashSet<>();
        waiters.forEach(waiter -> accounts.add(waiter.account));
        accounts.forEach(this::serveWaiters);
        if (result.committed()) {
            refuseExhausted();
        }
        if (!result.committed()) {
            renewSoon();
        } else {
            renewLater();
        }
    }

    private void uncertain(List<PrepaidBook.Proposal> proposals, Throwable failure) {
        boolean nothingDone = failure instanceof StoreException store && store.nothingDone();
        proposals.forEach(nothingDone ? book::refused : book::unanswered);
        noAnswer(failure);
        if (!stopping) {
            listed = false;
            loop.schedule(this::readAll, BASE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void answered() {
        answeredMillis = clock.getAsLong();
        if (away) {
            away = false;
            log.line("store_regained", "by", "ledger");
        }
    }

    private void noAnswer(Throwable failure) {
        if (!away) {
            away = true;
            log.line("store_lost", "by", "ledger", "reason", String.valueOf(failure.getMessage()));
        }
        List.copyOf(waiters).forEach(waiter -> waiter.end(Outcome.UNAVAILABLE, "store_away"));
    }

    private void serveWaiters(String account) {
        for (Waiter waiter : List.copyOf(waiters)) {
            if (waiter.account.equals(account)
                    && book.reserve(account, waiter.tokens) == PrepaidBook.Outcome.RESERVED) {
                waiter.end(Outcome.RESERVED, "leased");
            }
        }
    }

    private void refuseExhausted() {
        for (Waiter waiter : List.copyOf(waiters)) {
            PrepaidRow row = cached(waiter.account).row();
            if (PrepaidBook.exhausted(row, waiter.tokens)) {
                waiter.end(Outcome.EXHAUSTED, "rest_too_small");
            }
        }
    }

    private void expireWaiters() {
        long now = clock.getAsLong();
        for (Waiter waiter : List.copyOf(waiters)) {
            if (now - waiter.sinceMillis > LONGEST_WAIT_MILLIS) {
                waiter.end(Outcome.UNAVAILABLE, "lease_not_in_time");
            }
        }
        if (!away && writing && now - answeredMillis > STORE_SILENT_MILLIS) {
            noAnswer(new StoreException("renew leases", "no answer for long", false));
        }
    }

    private static RowKey keyOf(String account) {
        return new RowKey(TABLE, "", account);
    }

    private final class Waiter {
        private final String account;
        private final long tokens;
        private final Consumer<Outcome> then;
        private final long sinceMillis = clock.getAsLong();

        private Waiter(String account, long tokens, Consumer<Outcome> then) {
            this.account = account;
            this.tokens = tokens;
            this.then = then;
        }

        private void cancel() {
            if (waiters.remove(this)) {
                book.addWaiting(account, -tokens);
            }
        }

        private void end(Outcome outcome, String reason) {
            cancel();
            if (outcome != Outcome.RESERVED) {
                PrepaidRow row = cached(account).row();
                log.line(
                        "tokens_refused",
                        "account",
                        account,
                        "tokens",
                        tokens,
                        "reason",
                        reason,
                        "available",
                        book.available(account),
                        "limit",
                        row.limit(),
                        "used",
                        row.used(),
                        "spent_at_least",
                        row.spentAtLeast());
            }
            then.accept(outcome);
        }
    }
}
