package org.streamring.direct.ledger;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import org.streamring.direct.log.DecisionLog;
import org.streamring.kernel.prepaid.AccountHomes;
import org.streamring.kernel.prepaid.LeaseState;
import org.streamring.kernel.prepaid.PrepaidBook;

/**
 * Lends tokens of this entry's leases to others, takes back what they return, and returns what this entry borrowed and
 * does not use. Confined to the event loop.
 */
final class LoanDesk implements Lenders.Lender {
    /** A borrower asks elsewhere after 60 ms; the answer is to be there by then. */
    private static final long LONGEST_WAIT_MILLIS = 45;
    /** A note travels to another entry and back. */
    private static final long NOTE_MILLIS = 8;
    /** Idle tokens are of use to others soon, and small returns are not worth a frame each. */
    private static final long RETURN_MILLIS = 300;

    private final EventLoop loop;
    private final PrepaidBook book;
    private final AccountHomes homes;
    private final LeaseRenewer renewer;
    private final UseNotes notes;
    private final Lenders lenders;
    private final ToLongFunction<String> kept;
    private final Runnable onTokens;
    private final DecisionLog log;
    private final List<Ask> waiting = new ArrayList<>();

    /**
     * Creates one; nothing is returned before {@link #start}.
     *
     * @param kept tokens of an account that may lie idle here where others hold its leases
     * @param onTokens run when tokens came back
     */
    LoanDesk(
            EventLoop loop,
            PrepaidBook book,
            AccountHomes homes,
            LeaseRenewer renewer,
            UseNotes notes,
            Lenders lenders,
            ToLongFunction<String> kept,
            Runnable onTokens,
            DecisionLog log) {
        this.loop = loop;
        this.book = book;
        this.homes = homes;
        this.renewer = renewer;
        this.notes = notes;
        this.lenders = lenders;
        this.kept = kept;
        this.onTokens = onTokens;
        this.log = log;
    }

    void start() {
        loop.scheduleAtFixedRate(this::returnIdle, RETURN_MILLIS, RETURN_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Lends tokens to another entry; while the store answers, a home entry fetches a larger lease first where needed.
     *
     * @param then told the outcome once
     */
    @Override
    public void lend(String account, long asked, Consumer<Lenders.Loan> then) {
        if (book.available(account) >= asked) {
            then.accept(lendNow(account, asked));
        } else if (book.noteWouldHelp(account, asked)) {
            new Ask(account, asked, then).waitFor(NOTE_MILLIS);
            notes.sendSoon();
        } else if (renewer.away() || !homes.isHome(account)) {
            then.accept(lendNow(account, asked));
        } else {
            new Ask(account, asked, then).waitFor(LONGEST_WAIT_MILLIS);
            renewer.renewSoon();
        }
    }

    @Override
    public void takeBack(String account, long tokens) {
        if (tokens > 0) {
            book.borrow(account, tokens);
            onTokens.run();
        }
    }

    /**
     * Answers those who wait for tokens that are there now. Answered only when their time was over, an ask that a write
     * of 30 ms would have served whole got less than half of it.
     */
    void serveWaiting() {
        for (Ask ask : List.copyOf(waiting)) {
            if (book.available(ask.account) >= ask.asked) {
                ask.answer();
            }
        }
    }

    /** The store does not answer, so nothing more comes. */
    void storeLost() {
        List.copyOf(waiting).forEach(Ask::answer);
    }

    /** Returns borrowed tokens that lie idle, where another entry holds the account's leases. */
    private void returnIdle() {
        for (String account : book.accounts()) {
            if (!homes.isHome(account) && lenders.canReturn(account)) {
                long idle = book.giveUpIdle(account, kept.applyAsLong(account));
                if (idle > 0) {
                    lenders.giveBack(account, idle);
                    log.line("tokens_returned", "account", account, "tokens", idle);
                }
            }
        }
    }

    private Lenders.Loan lendNow(String account, long asked) {
        long tokens = homes.allAreHomes() ? book.lendWithSpare(account, asked) : book.lend(account, asked);
        if (tokens < asked && homes.isHome(account)) {
            logShort(account, asked, tokens);
        }
        return new Lenders.Loan(tokens, !renewer.away());
    }

    private void logShort(String account, long asked, long lent) {
        LeaseState state = book.state(account);
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
                state.usableOnceNoted(),
                "waiting",
                state.waiting(),
                "patience_left_ms",
                renewer.patienceLeftMillis());
    }

    /** Another entry that waits for an answer. */
    private final class Ask {
        private final String account;
        private final long asked;
        private final Consumer<Lenders.Loan> then;

        private Ask(String account, long asked, Consumer<Lenders.Loan> then) {
            this.account = account;
            this.asked = asked;
            this.then = then;
        }

        private void waitFor(long millis) {
            waiting.add(this);
            book.addWaiting(account, asked);
            loop.schedule(this::answer, millis, TimeUnit.MILLISECONDS);
        }

        /** Answers with what there is; further calls have no effect. */
        private void answer() {
            if (waiting.remove(this)) {
                book.addWaiting(account, -asked);
                then.accept(lendNow(account, asked));
            }
        }
    }
}
