package org.streamring.direct.request;

import java.util.Optional;
import java.util.function.Consumer;
import org.streamring.kernel.prepaid.RequestUsage;

/**
 * Prepaid tokens of one request: reserved before each run, and settled by what all runs used. A request whose account
 * has no prepaid limit, or that declares no tokens, needs none. Confined to the event loop.
 */
final class RequestTokens {
    private final RequestServices services;
    private final RequestPlan plan;
    private final RequestLog log;
    private final AttemptHistory attempts;
    private final Optional<Reservation> reservation;

    RequestTokens(RequestServices services, RequestPlan plan, RequestLog log, AttemptHistory attempts) {
        this.services = services;
        this.plan = plan;
        this.log = log;
        this.attempts = attempts;
        this.reservation = Reservation.of(services.tokens(), plan, this::settled);
    }

    /** Whether the request needs tokens. */
    boolean needed() {
        return reservation.isPresent();
    }

    /** Reserves the tokens of the next run; the outcome may be delivered before this method returns. */
    TokenSource.Pending reserveForNextRun(Consumer<TokenSource.Outcome> onOutcome) {
        if (reservation.isPresent()) {
            return reservation.get().reserveForNextRun(onOutcome);
        }
        onOutcome.accept(TokenSource.Outcome.RESERVED);
        return () -> {};
    }

    /**
     * Reserves the tokens of a run that begins when the one in progress is given up; the outcome may be delivered
     * before this method returns.
     */
    TokenSource.Pending reserveForRunAfterCurrent(Consumer<TokenSource.Outcome> onOutcome) {
        if (reservation.isPresent()) {
            return reservation.get().reserveForRunAfterCurrent(onOutcome);
        }
        onOutcome.accept(TokenSource.Outcome.RESERVED);
        return () -> {};
    }

    /** Releases tokens that were reserved for a run after the one in progress. */
    void releaseRunAfterCurrent() {
        reservation.ifPresent(Reservation::releaseRunAfterCurrent);
    }

    /** Adds events received from the run in progress. */
    void eventsReceived(int events) {
        long tokens = (long) events * plan.service().tokensPerEvent();
        reservation.ifPresent(each -> each.usage().received(tokens));
    }

    /**
     * Adds the usage of an attempt that ended.
     *
     * @param streamed whether its answer was a stream of events
     */
    void attemptEnded(AttemptEnd end, boolean streamed) {
        switch (end.kind()) {
            case NOT_SENT, WITHDRAWN, NOT_RUN -> {}
            case WHOLE -> runEnded(streamed);
            case FAILED -> runEnded(true);
            default -> runEnded(false);
        }
    }

    /** Keeps the tokens reserved after {@link #close} until {@link #attemptDrained} is called. */
    void awaitEndOfRun() {
        reservation.ifPresent(Reservation::awaitEndOfRun);
    }

    /**
     * Adds the usage of an attempt that was cancelled.
     *
     * @param events events that arrived after the cancellation, also an incomplete one
     * @param toItsEnd whether the answer was received up to the point where the replica ended it
     */
    void attemptDrained(int events, boolean toItsEnd) {
        eventsReceived(events);
        runEnded(toItsEnd);
        reservation.ifPresent(Reservation::endOfRunKnown);
    }

    /** Adds the end of a run; its usage is known if all of its events were received, and their size is known. */
    private void runEnded(boolean received) {
        boolean known = received && plan.service().isEngine();
        reservation.map(Reservation::usage).ifPresent(usage -> {
            if (known) {
                usage.runReceived();
            } else {
                usage.runUnknown();
            }
        });
    }

    /** Settles the tokens, at once or when the end of a cancelled run is known. */
    void close() {
        reservation.ifPresent(Reservation::close);
    }

    /** Returns the tokens used by the runs that have ended. */
    long used() {
        return reservation.map(each -> each.usage().used()).orElse(0L);
    }

    private void settled(RequestUsage usage) {
        RequestUsage.AnswerTokens answer = usage.answerTokens();
        log.tokensSettled(usage.used(), answer, attempts.attempts());
        services.metrics().tokensSettled(plan.accountName(), answer.received(), answer.unknown());
    }
}
