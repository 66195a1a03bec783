package org.streamring.direct.request;

import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.streamring.direct.caller.AnswerWriter;
import org.streamring.direct.caller.CallerRequest;
import org.streamring.direct.caller.RequestSink;
import org.streamring.kernel.admission.RequestDemand;
import org.streamring.kernel.admission.WaitDecision;
import org.streamring.kernel.placement.PlacementForecast;
import org.streamring.kernel.placement.PlacementQuery;
import org.streamring.kernel.registry.BackendInstance;

/**
 * One request from its arrival to its final answer: reserves tokens, finds a replica, sends the request, sends it
 * elsewhere where that is allowed, and settles. Confined to the event loop.
 */
final class DirectRequest implements RequestSink.ActiveRequest, PlaceQueue.Waiting, AttemptRun.Owner {
    private static final Duration RETRY_SOON = Duration.ofMillis(250);
    /** Callers wait for this part of the time that they have left, at most. */
    private static final int PARTS_OF_TIME_LEFT = 3;

    /** Reason of a refusal: servers have ended under this request, at this entry or at others. */
    private static final String CRASHES_SERVERS = "request_crashes_servers";

    /** Callers who are refused in the same rest come back over this time, where all would come at its end. */
    private static final int SPREAD_MILLIS = 250;

    private static final int MAX_UNSENT = 8;
    private static final long DEADLINE_MARGIN_MILLIS = 5;
    /** More than a replica makes in the half second in which it must notice. */
    private static final int EVENTS_UNTIL_NOTICED = 30;

    private final RequestServices services;
    private final PlaceQueue places;
    private final HeaderFilter filter;
    private final RequestPlan plan;
    private final RequestLog log;
    private final CallerRequest request;
    private final AnswerWriter writer;
    private final Runnable onOver;
    private final AnswerRelay relay;
    private final StreamTiming timing;
    private final Optional<Reservation> reservation;
    private final SuspectGuard.Watched suspect;
    private final RequestDemand demand;
    private final LinkShare link;
    private final BackendRequestBuilder builder;
    private final AttemptHistory attempts = new AttemptHistory();
    private TokenSource.@Nullable Pending pendingTokens;
    private @Nullable AttemptRun run;
    private @Nullable Future<?> deadlineTimer;
    private Optional<PlacementForecast> forecast = Optional.empty();
    private Duration retryAfter = RETRY_SOON;
    private boolean over;

    DirectRequest(
            RequestServices services,
            PlaceQueue places,
            HeaderFilter filter,
            RequestPlan plan,
            CallerRequest request,
            AnswerWriter writer,
            Runnable onOver) {
        this.services = services;
        this.places = places;
        this.filter = filter;
        this.plan = plan;
        this.log = new RequestLog(services.log(), plan);
        this.request = request;
        this.writer = writer;
        this.onOver = onOver;
        this.timing = new StreamTiming(services.clock(), request.arrivedMillis());
        this.relay = new AnswerRelay(
                plan.route().stream(),
                filter,
                writer,
                Optional.ofNullable(request.headers().get(services.names().lastEventId())),
                timing);
        this.reservation = Reservation.of(services.tokens(), plan.prepaidAccount(), plan.tokens());
        this.suspect = services.suspects().watch(request, plan.id(), plan.account());
        this.demand = new RequestDemand(writer::callerPresent, plan.deadlineMillis());
        this.link = new LinkShare(services.link(), services.clock(), request.body().length);
        this.builder = new BackendRequestBuilder(services.names(), filter, request, plan);
    }

    void start() {
        services.fleet().retries(plan.service().name()).request(now());
        long left = Math.max(0, plan.deadlineMillis() - now() - DEADLINE_MARGIN_MILLIS);
        deadlineTimer = services.loop().schedule(this::onDeadline, left, TimeUnit.MILLISECONDS);
        if (refusedAsSuspect() || endedAsUnwanted()) {
            return;
        }
        if (reservation.isPresent()) {
            pendingTokens = reservation.get().reserve(this::onTokens);
        } else {
            place();
        }
    }

    private void onTokens(TokenSource.Outcome outcome) {
        if (over) {
            settle();
            return;
        }
        if (outcome == TokenSource.Outcome.RESERVED) {
            place();
        } else if (outcome == TokenSource.Outcome.EXHAUSTED) {
            end(OwnAnswer.refusal(402, "prepaid_used_up"));
        } else {
            end(OwnAnswer.later("no_tokens_leased", untilTokens()));
        }
    }

    private Duration untilTokens() {
        return withinTimeLeft(services.tokens().untilAvailable());
    }

    /** Callers who would be told to wait for longer than they can come back sooner, perhaps to another entry. */
    private Duration withinTimeLeft(Duration after) {
        long left = plan.callerWaitMillis() - elapsed();
        long longest = Math.max(0, left) / PARTS_OF_TIME_LEFT;
        return Duration.ofMillis(Math.min(longest, after.toMillis()));
    }

    private Duration spread() {
        return Duration.ofMillis(services.random().nextInt(SPREAD_MILLIS));
    }

    private void place() {
        if (!tryPlace()) {
            places.add(this);
        }
    }

    @Override
    public int rank() {
        return plan.rank();
    }

    @Override
    public boolean tryPlace() {
        if (over) {
            return true;
        }
        if (refusedAsSuspect()) {
            return true;
        }
        long linkClosed = link.closedMillis();
        PlacementQuery query = plan.placement(services.failureDomain(), attempts.tried());
        Optional<BackendInstance> chosen =
                linkClosed > 0 ? Optional.empty() : services.fleet().choose(plan.service(), query);
        if (chosen.isPresent()) {
            if (!endedAsUnwanted()) {
                send(chosen.get(), query);
            }
            return true;
        }
        Closure closure = linkClosed > 0
                ? Closure.linkFull(linkClosed)
                : services.fleet().closure(plan.service().name());
        long closed = closure.millis();
        WaitDecision decision =
                places.decide(this, elapsed(), plan.route().targetLatency(), plan.deadlineMillis(), closed);
        if (decision.waits()) {
            return false;
        }
        retryAfter = closed == 0
                ? decision.retryAfter()
                : withinTimeLeft(decision.retryAfter().plus(spread()));
        conclude(attempts.lastEnd().orElseGet(() -> AttemptEnd.notRun(closure.reason())));
        return true;
    }

    /** Asked on arrival and before each attempt: what was learned since may forbid one that waits, or a retry. */
    private boolean refusedAsSuspect() {
        Optional<Duration> refused = suspect.refusedFor();
        refused.ifPresent(after -> {
            retryAfter = after;
            conclude(AttemptEnd.notRun(CRASHES_SERVERS));
        });
        return refused.isPresent();
    }

    private boolean endedAsUnwanted() {
        RequestDemand.Verdict verdict = demand.at(now());
        if (verdict == RequestDemand.Verdict.CALLER_GONE) {
            callerGone();
        } else if (verdict == RequestDemand.Verdict.NO_TIME) {
            onDeadline();
        }
        return verdict != RequestDemand.Verdict.WANTED;
    }

    private void send(BackendInstance instance, PlacementQuery query) {
        attempts.chosen(instance);
        suspect.sent();
        link.taken();
        run = new AttemptRun(services, plan, instance, relay, this);
        run.begin(builder.build(instance, plan.callerWaitMillis() - elapsed(), relay.lastEventId()), query);
        forecast = run.forecast();
    }

    @Override
    public boolean stillWanted() {
        return demand.at(now()) == RequestDemand.Verdict.WANTED;
    }

    @Override
    public void attemptSent() {
        attempts.sent();
        reservation.ifPresent(Reservation::ran);
    }

    @Override
    public void handedOut(int events) {
        reservation.ifPresent(
                each -> each.handedOut((long) events * plan.service().tokensPerEvent()));
    }

    @Override
    public void attemptEnded(AttemptEnd end) {
        if (over) {
            return;
        }
        attempts.ended(end);
        run = null;
        if (end.unsent()) {
            link.givenBack();
        }
        suspect.ended();
        places.freed();
        logAttempt(end);
        if (end.kind() == AttemptEnd.Kind.WHOLE) {
            suspect.answered();
            finish("answered", 200);
        } else if (end.unsent()) {
            findAnotherOrConclude(end);
        } else if (end.kind() == AttemptEnd.Kind.NOT_RUN) {
            retryOrConclude(end, true);
        } else {
            afterPossibleRun(end);
        }
    }

    private void findAnotherOrConclude(AttemptEnd end) {
        if (attempts.unsent() <= MAX_UNSENT && demand.hasTime(now())) {
            place();
        } else {
            conclude(end);
        }
    }

    private void afterPossibleRun(AttemptEnd end) {
        if (end.kind() != AttemptEnd.Kind.FAILED) {
            reservation.ifPresent(Reservation::useUnknown);
        }
        if (end.kind() == AttemptEnd.Kind.BROKEN) {
            attempts.newest()
                    .ifPresent(
                            server -> suspect.brokeOff(server, services.fleet().pool(server)));
        }
        retryOrConclude(end, plan.route().repeatable());
    }

    private void retryOrConclude(AttemptEnd end, boolean allowed) {
        if (allowed && refusedAsSuspect()) {
            return;
        }
        boolean retry = allowed
                && attempts.attempts() < plan.route().maxAttempts()
                && demand.hasTime(now())
                && services.fleet().tryRetry(plan.service().name());
        if (retry) {
            place();
        } else {
            conclude(end);
        }
    }

    /** Ends without a success. */
    private void conclude(AttemptEnd end) {
        if (relay.begun()) {
            over("aborted", 0);
            writer.abort();
            return;
        }
        if (end.answer().isPresent() && end.answer().get().passable()) {
            BufferedAnswer answer = end.answer().get();
            over("failure_passed_on", answer.head().status());
            writer.whole(answer.head().status(), filter.forCaller(answer.head().headers()), answer.body());
            return;
        }
        end(attempts.mayHaveRun() ? OwnAnswer.unknown(502, end.reason()) : OwnAnswer.later(end.reason(), retryAfter));
    }

    private void onDeadline() {
        if (over) {
            return;
        }
        AttemptRun running = run;
        if (running != null) {
            attempts.givenUp(running.sent());
            giveUp(running);
        }
        if (relay.begun()) {
            over("deadline_in_stream", 0);
            writer.abort();
            return;
        }
        end(
                attempts.mayHaveRun()
                        ? OwnAnswer.unknown(504, "deadline")
                        : OwnAnswer.later("deadline_not_run", RETRY_SOON));
    }

    @Override
    public void callerGone() {
        if (over) {
            return;
        }
        AttemptRun running = run;
        if (running != null) {
            giveUp(running);
        }
        over("caller_gone", 0);
    }

    private void giveUp(AttemptRun running) {
        if (!running.sent()) {
            link.givenBack();
        }
        running.cancel();
        suspect.ended();
        places.freed();
        reservation.ifPresent(
                each -> each.givenUp(EVENTS_UNTIL_NOTICED, plan.service().tokensPerEvent()));
    }

    @Override
    public void writabilityChanged(boolean writable) {
        if (run != null) {
            run.pauseReading(!writable);
        }
    }

    private void finish(String outcome, int status) {
        over(outcome, status);
        relay.end();
    }

    private void end(OwnAnswer answer) {
        over(answer.reason(), answer.status());
        answer.write(writer, services.names(), plan.id());
    }

    private void settle() {
        reservation.ifPresent(Reservation::settle);
    }

    /**
     * Ends, before tokens and places are given back: those let other requests go on at once, and what these free may
     * call this one again, which would then be answered twice.
     */
    private void over(String outcome, int status) {
        over = true;
        onOver.run();
        places.remove(this);
        if (pendingTokens != null) {
            pendingTokens.cancel();
        }
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        settle();
        services.metrics().requestEnded(outcome, plan.rank(), elapsed());
        log.ended(outcome, status, course());
        places.poke();
    }

    private void logAttempt(AttemptEnd end) {
        if (end.kind() == AttemptEnd.Kind.WHOLE) {
            return;
        }
        services.metrics().attemptFailed(end.kind().name());
        log.attemptFailed(end, attempts.newestId(), suspect.digest(), elapsed());
    }

    private RequestLog.Course course() {
        long tokens = reservation.map(Reservation::used).orElse(0L);
        return new RequestLog.Course(
                attempts.attempts(),
                attempts.unsent(),
                tokens,
                attempts.newestId(),
                forecast,
                timing,
                sinceSentMillis(),
                elapsed());
    }

    private OptionalLong sinceSentMillis() {
        OptionalLong sent = run == null ? OptionalLong.empty() : run.sentMillis();
        return sent.isPresent() ? OptionalLong.of(now() - sent.getAsLong()) : sent;
    }

    private long elapsed() {
        return now() - request.arrivedMillis();
    }

    private long now() {
        return services.clock().getAsLong();
    }
}
