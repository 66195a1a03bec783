package org.streamring.direct.ledger;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.metrics.EntryMetrics;
import org.streamring.direct.request.TokenSource;
import org.streamring.kernel.admission.RepeatedPass;
import org.streamring.kernel.prepaid.AccountKnowledge;
import org.streamring.kernel.prepaid.HomeEntries;
import org.streamring.kernel.prepaid.PrepaidLedger;
import org.streamring.kernel.prepaid.PrepaidRow;
import org.streamring.kernel.route.RouteTable;
import org.streamring.kernel.store.RowStore;

/**
 * Allocates prepaid tokens to requests from this entry's leases, from a larger lease if the store answers in time, or
 * from loans of other entries. Confined to the event loop.
 */
public final class TokenAllocator implements TokenSource, LeaseRenewer.Listener {
    private static final long MAX_WAIT_MILLIS = 130;
    /** The first lease of a process takes longer, and the process has no other tokens until then. */
    private static final long FIRST_LEASE_WAIT_MILLIS = 200;

    /** A store outage mostly lasts some seconds. While the store answers, other entries return tokens all the time. */
    private static final Duration RETRY_AFTER_STORE_OUTAGE = Duration.ofSeconds(5);

    private static final Duration RETRY_AFTER_SHORTAGE = Duration.ofSeconds(1);
    /**
     * A restarted entry connects to others within one or two seconds. Without waiting for the first connection, entries
     * refused 407 of 11,284 requests at once after all of 33 entries were lost and restarted.
     */
    private static final long FIRST_CONNECTION_MILLIS = 5_000;

    private static final long FINAL_TRY_MILLIS = 60;
    private static final long EXPIRY_CHECK_INTERVAL_MILLIS = 20;
    /** A timer that is set while others run fires after the event loop has read its connections. */
    private static final long READING_DELAY_MILLIS = 1;
    /** A write of a lender takes about 10 to 20 ms. */
    private static final long ASK_AGAIN_DELAY_MILLIS = 20;
    /** Entries that ask each other at the same moment exchange their tokens. A random delay lets one ask first. */
    private static final long MAX_ASK_AGAIN_JITTER_MILLIS = 10;

    private final EventLoop loop;
    private final PrepaidLedger ledger;
    private final LeaseRows rows;
    private final LeaseRenewer renewer;
    private final UsageRecorder usageRecorder;
    private final TokenLender tokenLender;
    private final Supplier<Optional<RouteTable>> routes;
    private final HomeEntries homeEntries;
    private final Lenders lenders;
    private final LongSupplier clock;
    private final Random random;
    private final EntryMetrics metrics;
    private final DecisionLog log;
    private final List<Waiter> waiters = new ArrayList<>();
    private final RepeatedPass serving = new RepeatedPass(this::serveAll);

    /**
     * Creates an allocator; nothing is read or written before {@link #start}.
     *
     * @param box name and address of this box
     * @param copies other entries that keep copies of this entry's grants
     * @param knowledge what this entry knows of the accounts' rows
     * @param era returns the current era of the store
     * @param mayHavePeers returns whether other entries may be live
     * @param clock milliseconds since this process started, on a monotonic clock
     * @param processAge milliseconds since the JVM of this process began to start
     */
    public TokenAllocator(
            EventLoop loop,
            RowStore store,
            PrepaidLedger ledger,
            String box,
            Supplier<Optional<RouteTable>> routes,
            HomeEntries homeEntries,
            IntSupplier entries,
            Lenders lenders,
            Witnesses witnesses,
            GrantCopies copies,
            AccountKnowledge knowledge,
            LongSupplier era,
            BooleanSupplier mayHavePeers,
            LongSupplier clock,
            LongSupplier processAge,
            Random random,
            EntryMetrics metrics,
            DecisionLog log) {
        this.loop = loop;
        this.ledger = ledger;
        this.rows = new LeaseRows(log, box, knowledge);
        this.routes = routes;
        this.homeEntries = homeEntries;
        this.lenders = lenders;
        this.clock = clock;
        this.random = random;
        this.metrics = metrics;
        this.log = log;
        this.renewer = new LeaseRenewer(
                loop,
                store,
                ledger,
                rows,
                routes,
                homeEntries,
                entries,
                witnesses,
                copies,
                era,
                mayHavePeers,
                clock,
                processAge,
                random,
                log,
                this);
        this.usageRecorder = new UsageRecorder(loop, ledger, witnesses, this::serveWaiters);
        this.tokenLender = new TokenLender(
                loop,
                ledger,
                homeEntries,
                renewer,
                usageRecorder,
                lenders,
                account -> PrepaidLedger.idleAllowance(row(account).limit(), entries.getAsInt()),
                this::serveWaiters,
                log);
    }

    /** Starts reading and renewing leases. */
    public void start() {
        renewer.start();
        usageRecorder.start();
        tokenLender.start();
        loop.scheduleAtFixedRate(
                this::expireWaiters,
                EXPIRY_CHECK_INTERVAL_MILLIS - READING_DELAY_MILLIS,
                EXPIRY_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Returns whether the store is currently not answering. */
    public boolean storeUnreachable() {
        return renewer.storeUnreachable();
    }

    /** Returns whether at least one write of leases was committed since the start. */
    public boolean renewedOnce() {
        return renewer.renewedOnce();
    }

    /** Restores what the store has lost, because it was restored from an older copy. */
    public void storeRestored() {
        renewer.storeRestored();
    }

    /** Stops taking tokens, and from now on returns those that no request uses or waits for. */
    public void release() {
        renewer.release();
    }

    /**
     * Returns all unspent tokens to the store. The future completes when the store has confirmed it or did not answer.
     */
    public CompletableFuture<Void> close() {
        return renewer.close();
    }

    @Override
    public Pending reserve(String account, long tokens, Consumer<Outcome> then) {
        if (ledger.reserve(account, tokens) == PrepaidLedger.Outcome.RESERVED) {
            then.accept(Outcome.RESERVED);
            return () -> {};
        }
        Waiter waiter = new Waiter(account, tokens, then);
        waiters.add(waiter);
        if (ledger.recordWouldHelp(account, tokens)) {
            waiter.waitForWitness();
        } else if (renewer.storeUnreachable() || !homeEntries.isHome(account)) {
            waiter.borrow();
        } else {
            waiter.lease();
        }
        return waiter::cancel;
    }

    @Override
    public Duration untilAvailable() {
        return renewer.storeUnreachable() ? RETRY_AFTER_STORE_OUTAGE : RETRY_AFTER_SHORTAGE;
    }

    /** Returns the lender that serves loan requests of other entries from this entry's leases. */
    public Lenders.Lender lender() {
        return tokenLender;
    }

    @Override
    public void settle(String account, long reserved, long used) {
        ledger.settle(account, reserved, used);
        serveWaiters();
    }

    @Override
    public void renewed() {
        serveWaiters();
        for (Waiter waiter : List.copyOf(waiters)) {
            PrepaidRow row = row(waiter.account);
            if (PrepaidLedger.exhausted(row, waiter.tokens)) {
                waiter.end(Outcome.EXHAUSTED, "rest_too_small");
            } else if (row.unheld() + ledger.available(waiter.account) < waiter.tokens) {
                waiter.borrow();
            }
        }
    }

    /** Returns the row of an account as last read, with the limit of the current configuration. */
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
        tokenLender.storeLost();
        List.copyOf(waiters).forEach(Waiter::borrow);
    }

    private void serveWaiters() {
        serving.run();
    }

    private void serveAll() {
        for (Waiter waiter : List.copyOf(waiters)) {
            waiter.tryServe();
        }
        tokenLender.serveWaiting();
    }

    /**
     * Ends waits that are over. Usage caps rise with time, so that waiting requests may be served without an event. An
     * event loop that was held up runs its timers before it reads what has arrived in the meantime, so that waits end
     * only after all connections were read once more.
     */
    private void expireWaiters() {
        serveWaiters();
        if (!overdue().isEmpty()) {
            loop.schedule(this::expireOverdue, READING_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void expireOverdue() {
        serveWaiters();
        overdue().forEach(Waiter::expire);
    }

    private List<Waiter> overdue() {
        long now = clock.getAsLong();
        return waiters.stream().filter(waiter -> now > waiter.expiresMillis).toList();
    }

    private long maxWaitMillis() {
        return renewer.renewedOnce() ? MAX_WAIT_MILLIS : FIRST_LEASE_WAIT_MILLIS;
    }

    /** Returns whether the process started so recently that its first connection to a lender may still follow. */
    private boolean mayStillConnect() {
        return clock.getAsLong() < FIRST_CONNECTION_MILLIS;
    }

    private final class Waiter {
        private final String account;
        private final long tokens;
        private final Consumer<Outcome> then;
        private long expiresMillis = clock.getAsLong() + maxWaitMillis();
        private boolean asked;
        private final LenderWait lenderWait = new LenderWait();
        private boolean leasing;
        private long lackingBeforeLoans;
        private long borrowed;
        private boolean noLenderConnected;
        private boolean askingAgain;

        private Waiter(String account, long tokens, Consumer<Outcome> then) {
            this.account = account;
            this.tokens = tokens;
            this.then = then;
        }

        private void cancel() {
            if (waiters.remove(this) && leasing) {
                ledger.addWaiting(account, -tokens);
            }
        }

        /**
         * Returns whether this request still waits. The callback of one request may serve or end another one that the
         * current iteration over all waiting requests has not reached yet.
         */
        private boolean isWaiting() {
            return waiters.contains(this);
        }

        private void tryServe() {
            if (isWaiting() && ledger.reserve(account, tokens) == PrepaidLedger.Outcome.RESERVED) {
                end(Outcome.RESERVED, "leased");
            }
        }

        /** Waits for a larger lease. */
        private void lease() {
            leasing = true;
            ledger.addWaiting(account, tokens);
            renewer.renewSoon();
        }

        /** Waits until a witness has recorded the tokens, which the lease already includes. */
        private void waitForWitness() {
            leasing = true;
            ledger.addWaiting(account, tokens);
            usageRecorder.sendNow();
        }

        /** Asks other entries once. Tokens that they lend stay at this entry even if the request no longer waits. */
        private void borrow() {
            if (asked || !isWaiting()) {
                return;
            }
            asked = true;
            askLenders();
        }

        private void askLenders() {
            lackingBeforeLoans = lacking();
            borrowed = 0;
            lenderWait.asking();
            lenders.ask(account, this::lacking, this::lent, this::continueAfterLoans, this::promisedLate);
        }

        /**
         * Continues after all lenders were asked. An entry that is no home of the account takes a lease only as a last
         * resort.
         */
        private void continueAfterLoans(Lenders.Answers answers) {
            lenderWait.ended(answers);
            noLenderConnected = answers.asked() == 0;
            if (!isWaiting()) {
                return;
            }
            if (loansUsedByOthers()) {
                askAgainAfter(random.nextLong(MAX_ASK_AGAIN_JITTER_MILLIS));
            } else if (answers.asked() == 0 && mayStillConnect()) {
                askAgainAfter(ASK_AGAIN_DELAY_MILLIS);
            } else if (answers.moreSoon()) {
                askAgainAfter(ASK_AGAIN_DELAY_MILLIS);
            } else if (renewer.storeUnreachable() && becomesAvailableInTime()) {
                return;
            } else if (leasing) {
                giveUp(renewer.storeUnreachable() ? "store_away" : "lease_not_in_time");
            } else if (renewer.storeUnreachable()) {
                giveUp("store_away");
            } else {
                expiresMillis = Math.max(expiresMillis, clock.getAsLong() + FINAL_TRY_MILLIS);
                lease();
            }
        }

        /**
         * Returns whether other entries lent all that was missing, but other requests reserved it, or it was lent on.
         * Requests that arrive together count the same available tokens, so that their loans cover only some of them.
         */
        private boolean loansUsedByOthers() {
            return borrowed > 0 && borrowed >= lackingBeforeLoans && lacking() > 0;
        }

        private boolean becomesAvailableInTime() {
            long leftMillis = Math.max(0, expiresMillis - clock.getAsLong());
            return ledger.availableAfter(account, leftMillis) >= tokens;
        }

        /** A lender that answered after the end of the question may soon have more tokens. */
        private void promisedLate() {
            if (isWaiting() && lacking() > 0) {
                expiresMillis = lenderWait.extendForLatePromise(clock.getAsLong(), expiresMillis);
                askAgainAfter(ASK_AGAIN_DELAY_MILLIS);
            }
        }

        private void askAgainAfter(long delayMillis) {
            if (!askingAgain) {
                askingAgain = true;
                loop.schedule(this::askAgain, delayMillis, TimeUnit.MILLISECONDS);
            }
        }

        private void askAgain() {
            askingAgain = false;
            if (isWaiting() && lenderWait.mayAskAgain(clock.getAsLong(), expiresMillis, leasing)) {
                askLenders();
            }
        }

        private void expire() {
            if (asked) {
                giveUp(noLenderConnected ? "no_lender_met" : "lease_not_in_time");
            } else {
                expiresMillis = clock.getAsLong() + FINAL_TRY_MILLIS;
                borrow();
            }
        }

        /** Ends the wait without tokens, unless a lender that was asked may still answer. */
        private void giveUp(String reason) {
            tryServe();
            OptionalLong extended = lenderWait.extend(clock.getAsLong());
            if (extended.isPresent()) {
                expiresMillis = extended.getAsLong();
            } else {
                end(Outcome.UNAVAILABLE, reason);
            }
        }

        private long lacking() {
            return isWaiting() ? tokens - ledger.available(account) : 0;
        }

        private void lent(long amount) {
            borrowed += amount;
            ledger.borrow(account, amount);
            log.line("tokens_borrowed", "account", account, "tokens", amount);
            serveWaiters();
        }

        /** Ends the wait and passes on the outcome. Further calls have no effect. */
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
            Lenders.Answers answers = lenderWait.answers();
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
                    ledger.available(account),
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
                    renewer.silenceTimeoutLeftMillis(),
                    "lenders_asked",
                    answers.asked(),
                    "lenders_answered",
                    answers.answered());
        }
    }
}
