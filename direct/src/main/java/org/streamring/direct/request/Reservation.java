package org.streamring.direct.request;

import java.util.Optional;
import java.util.function.Consumer;
import org.streamring.kernel.prepaid.RequestUsage;

/**
 * Prepaid tokens reserved for one request, until they are settled.
 *
 * <p>Before each run, tokens are reserved for the maximum that it may use in addition to all runs before. The
 * reservation stays open while the end of a cancelled run is awaited. Confined to the event loop.
 */
final class Reservation {
    private final TokenSource source;
    private final String account;
    private final RequestUsage usage;
    private final Consumer<RequestUsage> onSettled;
    private long reserved;
    private boolean awaitsEndOfRun;
    private boolean closed;

    private Reservation(TokenSource source, String account, DeclaredTokens declared, Consumer<RequestUsage> onSettled) {
        this.source = source;
        this.account = account;
        this.usage = new RequestUsage(declared.prompt(), declared.maxAnswer());
        this.onSettled = onSettled;
    }

    /**
     * Creates a reservation without tokens; empty if the account has no prepaid limit or no tokens are declared.
     *
     * @param onSettled receives the usage once, after reserved tokens were settled
     */
    static Optional<Reservation> of(TokenSource source, RequestPlan plan, Consumer<RequestUsage> onSettled) {
        return plan.prepaidAccount().flatMap(account -> plan.tokens()
                .map(declared -> new Reservation(source, account, declared, onSettled)));
    }

    /** Reserves the tokens that the next run lacks; the outcome may be delivered before this method returns. */
    TokenSource.Pending reserveForNextRun(Consumer<TokenSource.Outcome> onOutcome) {
        return reserve(usage.neededForNextRun(), onOutcome);
    }

    /** Reserves the tokens that a run lacks that begins when the one in progress is given up. */
    TokenSource.Pending reserveForRunAfterCurrent(Consumer<TokenSource.Outcome> onOutcome) {
        return reserve(usage.neededForRunAfterCurrent(), onOutcome);
    }

    /** Releases tokens that were reserved for a run after the one in progress. */
    void releaseRunAfterCurrent() {
        long surplus = reserved - usage.neededForNextRun();
        if (surplus > 0 && !closed) {
            reserved -= surplus;
            source.settle(account, surplus, 0);
        }
    }

    private TokenSource.Pending reserve(long needed, Consumer<TokenSource.Outcome> onOutcome) {
        long lacking = needed - reserved;
        if (lacking <= 0) {
            onOutcome.accept(TokenSource.Outcome.RESERVED);
            return () -> {};
        }
        return source.reserve(account, lacking, outcome -> {
            if (outcome == TokenSource.Outcome.RESERVED) {
                add(lacking);
            }
            onOutcome.accept(outcome);
        });
    }

    private void add(long tokens) {
        if (closed) {
            source.settle(account, tokens, 0);
        } else {
            reserved += tokens;
        }
    }

    /** Returns the usage of the request, to which its runs are added. */
    RequestUsage usage() {
        return usage;
    }

    /** Keeps the reservation open after {@link #close} until {@link #endOfRunKnown} is called. */
    void awaitEndOfRun() {
        awaitsEndOfRun = true;
    }

    /** Settles a reservation that was closed while the end of a run was awaited. */
    void endOfRunKnown() {
        awaitsEndOfRun = false;
        if (closed) {
            settle();
        }
    }

    /** Settles the reservation, at once or when the end of the last run is known; further calls have no effect. */
    void close() {
        if (closed) {
            return;
        }
        closed = true;
        if (!awaitsEndOfRun) {
            settle();
        }
    }

    private void settle() {
        if (reserved > 0) {
            source.settle(account, reserved, usage.used());
            onSettled.accept(usage);
        }
    }
}
