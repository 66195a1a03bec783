package org.streamring.direct.ledger;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.metrics.EntryMetrics;
import org.streamring.direct.request.TokenSource;
import org.streamring.kernel.prepaid.AccountHomes;
import org.streamring.kernel.prepaid.PrepaidBook;
import org.streamring.kernel.prepaid.PrepaidRow;
import org.streamring.kernel.route.RouteTable;
import org.streamring.kernel.store.RowStore;

/**
 * Gives prepaid tokens to requests: from this entry's leases, from a larger lease if the store answers in time, or from
 * what another entry lends. Confined to the event loop.
 */
public final class TokenDesk implements TokenSource, LeaseRenewer.Listener {
    private static final long LONGEST_WAIT_MILLIS = 130;
    /** The first lease of a process is on its way for longer, and it has nothing else to offer. */
    private static final long FIRST_LEASE_WAIT_MILLIS = 200;

    /** An absence of the store mostly lasts some seconds; otherwise others give tokens back all the time. */
    private static final Duration UNTIL_THE_STORE_IS_BACK = Duration.ofSeconds(5);

    private static final Duration UNTIL_TOKENS_RETURN = Duration.ofSeconds(1);
    /**
     * An entry that is back meets others within a second or two. Without a wait for the first one it refused at once,
     * 407 requests of 11,284 on a day on which all of 33 entries were lost and came back.
     */
    private static final long MEETING_MILLIS = 5_000;

    private static final long LAST_TRY_MILLIS = 60;
    /**
     * A lender that stands still for a moment answers late. A request was refused beside one that stood still for
     * 150 ms with 18,750 idle tokens. Much shorter than the 1.5 s after which a silent connection ends.
     */
    private static final long LATE_LENDER_MILLIS = 200;

    private static final long EXPIRY_MILLIS = 20;
    /** A lender's write takes some 10 to 20 ms. */
    private static final long ASK_AGAIN_MILLIS = 20;

    private final EventLoop loop;
    private final PrepaidBook book;
    private final LeaseRows rows;
    private final LeaseRenewer renewer;
    private final UseNotes notes;
    private final LoanDesk loans;
    private final Supplier<Optional<RouteTable>> routes;
    private final AccountHomes homes;
    private final Lenders lenders;
    private final LongSupplier clock;
    private final EntryMetrics metrics;
    private final DecisionLog log;
    private final List<Waiter> waiters = new ArrayList<>();

    /**
     * Creates one; nothing happens before {@link #start}.
     *
     * @param box name and address of this box
     * @param clock milliseconds since this process began, on a steady clock
     * @param processAge milliseconds since the runtime of this process began to start
     */
    public TokenDesk(
            EventLoop loop,
            RowStore store,
            PrepaidBook book,
            String box,
            Supplier<Optional<RouteTable>> routes,
            AccountHomes homes,
            IntSupplier entries,
            Lenders lenders,
            Witnesses witnesses,
            LongSupplier clock,
            LongSupplier processAge,
            Random random,
            EntryMetrics metrics,
            DecisionLog log) {
        this.loop = loop;
        this.book = book;
        this.rows = new LeaseRows(log, box);
        this.routes = routes;
        this.homes = homes;
        this.lenders = lenders;
        this.clock = clock;
        this.metrics = metrics;
        this.log = log;
        this.renewer = new LeaseRenewer(
                loop, store, book, rows, routes, homes, entries, witnesses, clock, processAge, random, log, this);
        this.notes = new UseNotes(loop, book, witnesses, this::serveWaiters);
        this.loans = new LoanDesk(
                loop,
                book,
                homes,
                renewer,
                notes,
                lenders,
                account -> PrepaidBook.kept(row(account).limit(), entries.getAsInt()),
                this::serveWaiters,
                log);
    }

    /** Starts to read and renew leases. */
    public void start() {
        renewer.start();
        notes.start();
        loans.start();
        loop.scheduleAtFixedRate(this::expireWaiters, EXPIRY_MILLIS, EXPIRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Whether the store does not answer at the moment. */
    public boolean storeAway() {
        return renewer.away();
    }

    /** Whether leases were written once since the start. */
    public boolean renewedOnce() {
        return renewer.renewedOnce();
    }

    /** Gives back, from now on, what no request uses or waits for. */
    public void release() {
        renewer.release();
    }

    /** Gives back all that is not spent; complete when the store said so or did not answer. */
    public CompletableFuture<Void> close() {
        return renewer.close();
    }

    @Override
    public Pending reserve(String account, long tokens, Consumer<Outcome> then) {
        if (book.reserve(account, tokens) == PrepaidBook.Outcome.RESERVED) {
            then.accept(Outcome.RESERVED);
            return () -> {};
        }
        Waiter waiter = new Waiter(account, tokens, then);
        waiters.add(waiter);
        if (book.noteWouldHelp(account, tokens)) {
            waiter.waitForNote();
        } else if (renewer.away() || !homes.isHome(account)) {
            waiter.borrow();
        } else {
            waiter.lease();
        }
        return waiter::cancel;
    }

    @Override
    public Duration untilAvailable() {
        return renewer.away() ? UNTIL_THE_STORE_IS_BACK : UNTIL_TOKENS_RETURN;
    }

    /** Lends from this entry's leases to others. */
    public Lenders.Lender lender() {
        return loans;
    }

    @Override
    public void settle(String account, long reserved, long used) {
        book.settle(account, reserved, used);
        serveWaiters();
    }

    @Override
    public void renewed() {
        serveWaiters();
        for (Waiter waiter : List.copyOf(waiters)) {
            PrepaidRow row = row(waiter.account);
            if (PrepaidBook.exhausted(row, waiter.tokens)) {
                waiter.end(Outcome.EXHAUSTED, "rest_too_small");
            } else if (row.unheld() + book.available(waiter.account) < waiter.tokens) {
                waiter.borrow();
            }
        }
    }

    /** The account's row as last read, with the limit in force. */
    private PrepaidRow row(String account) {
        PrepaidRow row = rows.account(account);
        return routes.get()
                .flatMap(table -> table.configuration().accounts().stream()
                        .filter(each ->
                                each.name().equals(account) && each.prepaid().isPresent())
                        .findFirst()
                        .map(each -> row.withLimit(each.prepaid().getAsLong(), table.version())))
                .orElse(row);
    }

    @Override
    public void storeLost() {
        loans.storeLost();
        List.copyOf(waiters).forEach(Waiter::borrow);
    }

    private void serveWaiters() {
        for (Waiter waiter : List.copyOf(waiters)) {
            waiter.tryServe();
        }
        loans.serveWaiting();
    }

    private void expireWaiters() {
        long now = clock.getAsLong();
        for (Waiter waiter : List.copyOf(waiters)) {
            if (now > waiter.expiresMillis) {
                waiter.expire();
            }
        }
    }

    private long longestWait() {
        return renewer.renewedOnce() ? LONGEST_WAIT_MILLIS : FIRST_LEASE_WAIT_MILLIS;
    }

    /** Whether the first lender may yet be met. */
    private boolean meetingOthers() {
        return clock.getAsLong() < MEETING_MILLIS;
    }

    private final class Waiter {
        private final String account;
        private final long tokens;
        private final Consumer<Outcome> then;
        private long expiresMillis = clock.getAsLong() + longestWait();
        private boolean asked;
        private Lenders.Answers answers = Lenders.Answers.NONE;
        private boolean leasing;
        private boolean metNobody;
        private boolean roundEnded;
        private boolean waitedForLate;

        private Waiter(String account, long tokens, Consumer<Outcome> then) {
            this.account = account;
            this.tokens = tokens;
            this.then = then;
        }

        private void cancel() {
            if (waiters.remove(this) && leasing) {
                book.addWaiting(account, -tokens);
            }
        }

        /** Whatever ends one request may serve or end another one that a pass over all of them comes to later. */
        private boolean isWaiting() {
            return waiters.contains(this);
        }

        private void tryServe() {
            if (isWaiting() && book.reserve(account, tokens) == PrepaidBook.Outcome.RESERVED) {
                end(Outcome.RESERVED, "leased");
            }
        }

        /** Waits for a larger lease. */
        private void lease() {
            leasing = true;
            book.addWaiting(account, tokens);
            renewer.renewSoon();
        }

        /** Waits until a witness has noted the tokens, which the lease holds. */
        private void waitForNote() {
            leasing = true;
            book.addWaiting(account, tokens);
            notes.sendSoon();
        }

        /** Asks other entries, once; what they lend stays here also if the request has gone on. */
        private void borrow() {
            if (asked || !isWaiting()) {
                return;
            }
            asked = true;
            lenders.ask(account, this::lacking, this::lent, this::allAsked);
        }

        /** Entries that hold leases of the account write its row; others only where those can't. */
        private void allAsked(Lenders.Answers received) {
            answers = received;
            roundEnded = true;
            metNobody = received.asked() == 0;
            if (!isWaiting()) {
                return;
            }
            if (answers.asked() == 0 && !homes.isHome(account) && meetingOthers()) {
                loop.schedule(this::askAgain, ASK_AGAIN_MILLIS, TimeUnit.MILLISECONDS);
            } else if (leasing) {
                giveUp(renewer.away() ? "store_away" : "lease_not_in_time");
            } else if (answers.moreSoon()) {
                loop.schedule(this::askAgain, ASK_AGAIN_MILLIS, TimeUnit.MILLISECONDS);
            } else if (renewer.away()) {
                giveUp("store_away");
            } else {
                expiresMillis = Math.max(expiresMillis, clock.getAsLong() + LAST_TRY_MILLIS);
                lease();
            }
        }

        private void askAgain() {
            if (isWaiting()) {
                roundEnded = false;
                lenders.ask(account, this::lacking, this::lent, this::allAsked);
            }
        }

        private void expire() {
            if (asked) {
                giveUp(metNobody ? "no_lender_met" : "lease_not_in_time");
            } else {
                expiresMillis = clock.getAsLong() + LAST_TRY_MILLIS;
                borrow();
            }
        }

        /** Ends without tokens, unless a lender that was asked may still answer. */
        private void giveUp(String reason) {
            if (waitedForLate || !lenderIsLate()) {
                end(Outcome.UNAVAILABLE, reason);
                return;
            }
            waitedForLate = true;
            expiresMillis = clock.getAsLong() + LATE_LENDER_MILLIS;
        }

        private boolean lenderIsLate() {
            return !roundEnded || answers.answered() < answers.asked();
        }

        private long lacking() {
            return isWaiting() ? tokens - book.available(account) : 0;
        }

        private void lent(long amount) {
            book.borrow(account, amount);
            log.line("tokens_borrowed", "account", account, "tokens", amount);
            serveWaiters();
        }

        /** Tells the outcome; further calls have no effect. */
        private void end(Outcome outcome, String reason) {
            if (!isWaiting()) {
                return;
            }
            cancel();
            if (outcome != Outcome.RESERVED) {
                logRefusal(reason);
            }
            then.accept(outcome);
        }

        private void logRefusal(String reason) {
            metrics.tokensRefused(reason);
            PrepaidRow row = row(account);
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
                    "closed",
                    row.closed(),
                    "holders",
                    row.holdings().size(),
                    "spent_at_least",
                    row.spentAtLeast(),
                    "patience_left_ms",
                    renewer.patienceLeftMillis(),
                    "lenders_asked",
                    answers.asked(),
                    "lenders_answered",
                    answers.answered());
        }
    }
}
