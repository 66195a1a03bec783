package org.streamring.direct.ledger;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.prepaid.HomeEntries;
import org.streamring.kernel.prepaid.LeaseState;
import org.streamring.kernel.prepaid.PrepaidLedger;

/**
 * Lends tokens of this entry's leases to other entries, accepts returned tokens, and returns borrowed tokens that this
 * entry does not use. Confined to the event loop.
 */
final class TokenLender implements Lenders.Lender {
    /** Shorter than the 60 ms after which a borrower asks the next lender, so that the answer arrives in time. */
    private static final long MAX_WAIT_MILLIS = 45;
    /** Time for a round trip to a witness. */
    private static final long WITNESS_ROUND_TRIP_MILLIS = 8;
    /**
     * Short enough to make idle tokens available to others soon, long enough to avoid a frame for each small return.
     */
    private static final long RETURN_INTERVAL_MILLIS = 300;

    private final EventLoop loop;
    private final PrepaidLedger ledger;
    private final HomeEntries homeEntries;
    private final LeaseRenewer renewer;
    private final UsageRecorder usageRecorder;
    private final Lenders lenders;
    private final ToLongFunction<String> idleAllowance;
    private final Runnable onTokensReturned;
    private final DecisionLog log;
    private final List<PendingLoan> waiting = new ArrayList<>();

    /**
     * Creates a lender; no idle tokens are returned before {@link #start}.
     *
     * @param idleAllowance returns how many idle tokens of an account may stay here if other entries hold its leases
     * @param onTokensReturned called when a borrower has returned tokens
     */
    TokenLender(
            EventLoop loop,
            PrepaidLedger ledger,
            HomeEntries homeEntries,
            LeaseRenewer renewer,
            UsageRecorder usageRecorder,
            Lenders lenders,
            ToLongFunction<String> idleAllowance,
            Runnable onTokensReturned,
            DecisionLog log) {
        this.loop = loop;
        this.ledger = ledger;
        this.homeEntries = homeEntries;
        this.renewer = renewer;
        this.usageRecorder = usageRecorder;
        this.lenders = lenders;
        this.idleAllowance = idleAllowance;
        this.onTokensReturned = onTokensReturned;
        this.log = log;
    }

    void start() {
        loop.scheduleAtFixedRate(
                this::returnIdle, RETURN_INTERVAL_MILLIS, RETURN_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Lends tokens to another entry. If they do not suffice and the store answers, a home entry first enlarges its
     * lease.
     *
     * @param then called once with the result
     */
    @Override
    public void lend(String account, long asked, Consumer<Lenders.Loan> then) {
        if (ledger.available(account) >= asked) {
            then.accept(lendNow(account, asked));
        } else if (ledger.recordWouldHelp(account, asked)) {
            new PendingLoan(account, asked, then).waitFor(WITNESS_ROUND_TRIP_MILLIS);
            usageRecorder.sendNow();
        } else if (renewer.storeUnreachable() || !homeEntries.isHome(account)) {
            then.accept(lendNow(account, asked));
        } else {
            new PendingLoan(account, asked, then).waitFor(MAX_WAIT_MILLIS);
            renewer.renewSoon();
        }
    }

    @Override
    public void takeBack(String account, long tokens) {
        if (tokens > 0) {
            ledger.borrow(account, tokens);
            onTokensReturned.run();
        }
    }

    /**
     * Answers waiting borrowers whose tokens are now available. If they were answered only after the maximum wait, a
     * borrower whose loan a write of 30 ms would have covered in full got less than half of it.
     */
    void serveWaiting() {
        for (PendingLoan pendingLoan : List.copyOf(waiting)) {
            if (ledger.available(pendingLoan.account) >= pendingLoan.asked) {
                pendingLoan.answer();
            }
        }
    }

    /** Answers all waiting borrowers, because no larger lease is granted while the store does not answer. */
    void storeLost() {
        List.copyOf(waiting).forEach(PendingLoan::answer);
    }

    /** Returns idle borrowed tokens of accounts whose leases another entry holds. */
    private void returnIdle() {
        for (String account : ledger.accounts()) {
            if (!homeEntries.isHome(account) && lenders.canReturn(account)) {
                long idle = ledger.takeIdleForReturn(account, idleAllowance.applyAsLong(account));
                if (idle > 0) {
                    lenders.giveBack(account, idle);
                    log.line("tokens_returned", "account", account, "tokens", idle);
                }
            }
        }
    }

    private Lenders.Loan lendNow(String account, long asked) {
        long tokens = homeEntries.allAreHomes() ? ledger.lendWithSpare(account, asked) : ledger.lend(account, asked);
        if (tokens < asked && homeEntries.isHome(account)) {
            logShortLoan(account, asked, tokens);
        }
        return new Lenders.Loan(tokens, !renewer.storeUnreachable());
    }

    private void logShortLoan(String account, long asked, long lent) {
        LeaseState state = ledger.state(account);
        log.line(
                "loan_short",
                "account",
                account,
                "asked",
                asked,
                "lent",
                lent,
                "granted",
                state.granted(),
                "used",
                state.used(),
                "usable",
                state.usable(),
                "usable_once_noted",
                state.usableOnceRecorded(),
                "waiting",
                state.waiting(),
                "patience_left_ms",
                renewer.silenceTimeoutLeftMillis());
    }

    /** Loan request of another entry that has not been answered yet. */
    private final class PendingLoan {
        private final String account;
        private final long asked;
        private final Consumer<Lenders.Loan> then;

        private PendingLoan(String account, long asked, Consumer<Lenders.Loan> then) {
            this.account = account;
            this.asked = asked;
            this.then = then;
        }

        private void waitFor(long millis) {
            waiting.add(this);
            ledger.addWaiting(account, asked);
            loop.schedule(this::answer, millis, TimeUnit.MILLISECONDS);
        }

        /** Answers with the tokens that are available. Further calls have no effect. */
        private void answer() {
            if (waiting.remove(this)) {
                ledger.addWaiting(account, -asked);
                then.accept(lendNow(account, asked));
            }
        }
    }
}
