package org.streamring.direct.request;

import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.streamring.direct.backend.BackendRequest;
import org.streamring.direct.backend.Silence;
import org.streamring.direct.caller.AnswerWriter;
import org.streamring.direct.caller.CallerRequest;
import org.streamring.direct.caller.RequestSink;
import org.streamring.kernel.admission.RequestLiveness;
import org.streamring.kernel.admission.WaitDecision;
import org.streamring.kernel.placement.PlacementForecast;
import org.streamring.kernel.placement.PlacementQuery;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.kernel.stream.StreamOrigin;

/**
 * Processes one request from its arrival to its final answer: reserves tokens, chooses a replica, sends the request,
 * retries it at another replica where that is allowed, and settles the tokens. Confined to the event loop.
 */
final class DirectRequest implements RequestSink.ActiveRequest, SlotQueue.Waiting, RetryPreparation.Request {
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(250);

    /** Reason of a refusal: servers crashed while they ran this request or others with a part of its prompt. */
    private static final String CRASHES_SERVERS = "request_crashes_servers";

    private static final int MAX_UNSENT_ATTEMPTS = 8;
    private static final long RETRY_LATER_MILLIS = 200;
    private static final long DEADLINE_MARGIN_MILLIS = 5;

    private final RequestServices services;
    private final SlotQueue slots;
    private final RequestPlan plan;
    private final RequestLog log;
    private final CallerRequest request;
    private final Runnable onFinished;
    private final AnswerRelay relay;
    private final FinalAnswers answers;
    private final StreamBinding binding;
    private final StreamTiming timing;
    private final RequestTokens tokens;
    private final RequestRetries retries;
    private final CrashSuspectGuard.Watched suspect;
    private final RequestLiveness liveness;
    private final LinkUsage linkUsage;
    private final BackendRequestBuilder builder;
    private final RetryPreparation preparation;
    private final RetryDelays retryDelays;
    private final AttemptHistory attempts = new AttemptHistory();
    private final SlotWait slotWait;
    private TokenSource.@Nullable Pending pendingTokens;
    private @Nullable AttemptRun currentAttempt;
    private @Nullable Future<?> deadlineTimer;
    private Optional<PlacementForecast> forecast = Optional.empty();
    private Duration retryAfter = DEFAULT_RETRY_AFTER;
    private boolean finished;

    DirectRequest(
            RequestServices services,
            SlotQueue slots,
            HeaderFilter filter,
            RequestPlan plan,
            Optional<StreamOrigin> resumed,
            CallerRequest request,
            AnswerWriter writer,
            Runnable onFinished) {
        this.services = services;
        this.slots = slots;
        this.plan = plan;
        this.log = new RequestLog(services.log(), plan);
        this.request = request;
        this.onFinished = onFinished;
        this.timing = new StreamTiming(services.clock(), request.arrivedMillis());
        this.binding =
                new StreamBinding(plan, services.fleet(), services.streams().exchange(), resumed);
        this.relay = new AnswerRelay(
                plan.route().stream(),
                filter,
                writer,
                this::bindToOrigin,
                Optional.ofNullable(request.headers().get(services.names().lastEventId())),
                timing);
        this.answers = new FinalAnswers(plan, services.names(), filter, relay, writer, attempts);
        this.tokens = new RequestTokens(services, plan, log, attempts);
        this.retries = new RequestRetries(services, plan.service().name(), log, this::elapsed);
        this.suspect = services.suspects().watch(request, plan);
        this.liveness = new RequestLiveness(writer::callerPresent, plan.deadlineMillis());
        this.linkUsage = new LinkUsage(services.link(), services.clock(), request.body().length);
        this.builder = new BackendRequestBuilder(services.names(), filter, request, plan);
        this.slotWait = new SlotWait(request.arrivedMillis());
        this.retryDelays = new RetryDelays(services.random(), plan.callerWaitMillis());
        this.preparation = new RetryPreparation(
                services.clock(),
                tokens,
                retries,
                new NextAttemptCheck(services.clock(), plan, attempts, suspect, liveness, linkUsage),
                new ReplacementChoice(services.fleet(), plan, attempts, this::nextPlacement),
                new SilenceReport(log, services.metrics(), attempts, this::elapsed),
                this);
    }

    void start() {
        retries.requestArrived();
        long left = Math.max(0, plan.deadlineMillis() - now() - DEADLINE_MARGIN_MILLIS);
        deadlineTimer = services.loop().schedule(this::onDeadline, left, TimeUnit.MILLISECONDS);
        if (refusedAsSuspect() || endedAsNotLive()) {
            return;
        }
        pendingTokens = tokens.reserveForNextRun(this::onTokens);
    }

    private void onTokens(TokenSource.Outcome outcome) {
        if (finished) {
            return;
        }
        if (outcome == TokenSource.Outcome.RESERVED) {
            placeOrQueue();
        } else if (outcome == TokenSource.Outcome.EXHAUSTED) {
            finish(answers.local(LocalAnswer.refusal(402, "prepaid_used_up")));
        } else {
            finish(answers.local(LocalAnswer.retryLater(
                    "no_tokens_leased", retryDelays.capped(services.tokens().untilAvailable(), elapsed()))));
        }
    }

    private void placeOrQueue() {
        if (!tryPlace()) {
            slots.add(this);
        }
    }

    @Override
    public int rank() {
        return plan.rank();
    }

    @Override
    public boolean tryPlace() {
        if (finished || refusedAsSuspect()) {
            return true;
        }
        long linkBlockedMillis = linkUsage.closedMillis();
        PlacementQuery query = nextPlacement(attempts.excludedReplicas());
        Optional<BackendInstance> chosen =
                linkBlockedMillis > 0 ? Optional.empty() : services.fleet().choose(plan.service(), query);
        if (chosen.isPresent()) {
            if (!endedAsNotLive()) {
                send(chosen.get(), query);
            }
            return true;
        }
        ServiceUnavailability unavailability = linkBlockedMillis > 0
                ? ServiceUnavailability.linkFull(linkBlockedMillis)
                : services.fleet().unavailability(plan.service().name(), query);
        long unavailableMillis = unavailability.millis();
        WaitDecision decision = slots.decide(
                this,
                slotWait.waitedMillis(now()),
                plan.route().targetLatency(),
                plan.deadlineMillis(),
                unavailableMillis);
        if (decision.waits() || attempts.lostItsRun()) {
            return false;
        }
        if (binding.softwareVersion().isPresent()) {
            log.boundStreamNotPlaced(
                    binding.softwareVersion().get(),
                    services.fleet().obstacles(plan.service().name(), query),
                    elapsed());
        }
        retryAfter =
                unavailableMillis == 0 ? decision.retryAfter() : retryDelays.spread(decision.retryAfter(), elapsed());
        endWithoutSuccess(attempts.lastEnd().orElseGet(() -> AttemptEnd.notRun(unavailability.reason())));
        return true;
    }

    /**
     * Refuses the request if it is blocked as a suspect. Called on arrival and before each attempt, since the request
     * can become blocked while it waits or before it is retried.
     */
    private boolean refusedAsSuspect() {
        Optional<Duration> refused = suspect.refusalRetryAfter();
        refused.ifPresent(after -> {
            retryAfter = after;
            endWithoutSuccess(AttemptEnd.notRun(CRASHES_SERVERS));
        });
        return refused.isPresent();
    }

    private boolean endedAsNotLive() {
        RequestLiveness.Verdict verdict = liveness.at(now());
        if (verdict == RequestLiveness.Verdict.CALLER_GONE) {
            callerGone();
        } else if (verdict == RequestLiveness.Verdict.NO_TIME) {
            onDeadline();
        }
        return verdict != RequestLiveness.Verdict.WANTED;
    }

    /** Sends the request to a replica. The attempt may have ended, and another one may be in progress, on return. */
    private void send(BackendInstance instance, PlacementQuery query) {
        attempts.chosen(instance);
        suspect.sent(instance);
        linkUsage.acquire();
        slotWait.attemptBegan(now());
        AttemptRun attempt = createAttempt(instance);
        currentAttempt = attempt;
        attempt.begin(backendRequest(instance), query);
        if (currentAttempt == attempt) {
            forecast = attempt.forecast();
        }
    }

    private void bindToOrigin() {
        attempts.lastReplica().ifPresent(replica -> binding.firstEvent(replica, plan.resumeMillis() - elapsed()));
    }

    @Override
    public boolean isStillLive() {
        return liveness.at(now()) == RequestLiveness.Verdict.WANTED && suspect.mayStillBeSent();
    }

    @Override
    public void attemptWritten(BackendInstance instance) {
        retries.written(instance.id());
    }

    @Override
    public void attemptSilent(AttemptRun run, SilentAttempt silence) {
        preparation.attemptSilent(run, silence);
    }

    @Override
    public void attemptHeard(SilentAttempt before) {
        preparation.attemptHeard(before);
    }

    private PlacementQuery nextPlacement(Set<String> excluded) {
        return plan.placement(services.failureDomain(), excluded, binding.softwareVersion());
    }

    @Override
    public AttemptRun createAttempt(BackendInstance instance) {
        return new AttemptRun(services, plan, instance, relay, this);
    }

    @Override
    public void beginReplacing(
            AttemptRun next, BackendInstance instance, PlacementQuery query, AttemptSendListener listener) {
        next.beginReplacing(backendRequest(instance), query, listener);
    }

    private BackendRequest backendRequest(BackendInstance instance) {
        return builder.build(instance, plan.callerWaitMillis() - elapsed(), relay.lastEventId());
    }

    @Override
    public void replaceAttempt(AttemptRun silent, AttemptRun next, BackendInstance instance, Silence silence) {
        AttemptEnd end = silent.endSilent(silence);
        attempts.ended(end);
        suspect.replaced(silent.instance(), services.fleet().pool(silent.instance()), silent.progress());
        slots.slotReleased();
        logFailedAttempt(end);
        tokens.attemptEnded(end, relay.started());
        attempts.chosen(instance);
        suspect.sent(instance);
        linkUsage.acquire();
        currentAttempt = next;
        forecast = next.forecast();
    }

    @Override
    public void attemptSent() {
        attempts.sent();
    }

    @Override
    public void eventsDelivered(int events) {
        suspect.eventsDelivered(events);
        tokens.eventsReceived(events);
    }

    @Override
    public void attemptEnded(AttemptEnd end) {
        if (finished) {
            return;
        }
        preparation.cancel();
        attempts.ended(end);
        currentAttempt = null;
        if (end.unsent()) {
            linkUsage.release();
            slotWait.attemptNotSent(now());
        }
        suspect.ended(!end.unsent());
        slots.slotReleased();
        logFailedAttempt(end);
        tokens.attemptEnded(end, relay.started());
        if (end.kind() == AttemptEnd.Kind.WHOLE) {
            suspect.answered();
            finish(answers.whole());
        } else if (end.unsent()) {
            placeAgainOrEnd(end);
        } else if (end.kind() == AttemptEnd.Kind.NOT_RUN) {
            retryOrEnd(end, true);
        } else {
            afterPossibleRun(end);
        }
    }

    private void placeAgainOrEnd(AttemptEnd end) {
        if (attempts.unsent() <= MAX_UNSENT_ATTEMPTS && liveness.hasTime(now())) {
            placeOrQueue();
        } else {
            endWithoutSuccess(end);
        }
    }

    private void afterPossibleRun(AttemptEnd end) {
        if (end.kind() == AttemptEnd.Kind.BROKEN) {
            attempts.lastReplica()
                    .ifPresent(server ->
                            suspect.attemptBroken(server, services.fleet().pool(server), end.progress()));
        }
        retryOrEnd(end, plan.route().repeatable());
    }

    private void retryOrEnd(AttemptEnd end, boolean allowed) {
        if (finished || (allowed && refusedAsSuspect())) {
            return;
        }
        boolean possible = allowed && attempts.attempts() < plan.route().maxAttempts() && liveness.hasTime(now());
        if (possible && retries.tryTake()) {
            pendingTokens = tokens.reserveForNextRun(outcome -> onTokensForRetry(outcome, end));
        } else {
            retryLaterOrEnd(end, possible);
        }
    }

    private void retryLaterOrEnd(AttemptEnd end, boolean possible) {
        if (possible && attempts.lostItsRun()) {
            services.loop().schedule(() -> retryOrEnd(end, true), RETRY_LATER_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            endWithoutSuccess(end);
        }
    }

    private void onTokensForRetry(TokenSource.Outcome outcome, AttemptEnd end) {
        if (finished) {
            return;
        }
        if (outcome == TokenSource.Outcome.RESERVED) {
            placeOrQueue();
        } else {
            retries.giveBack();
            retryLaterOrEnd(end, true);
        }
    }

    private void endWithoutSuccess(AttemptEnd end) {
        finish(answers.withoutSuccess(end, retryAfter));
    }

    private void onDeadline() {
        endNow("deadline");
    }

    @Override
    public void processExits() {
        if (!relay.started()) {
            endNow("entry_stopped");
        }
    }

    private void endNow(String reason) {
        if (finished) {
            return;
        }
        AttemptRun attempt = currentAttempt;
        if (attempt != null) {
            attempts.cancelled(attempt.sent());
            cancelAttempt(attempt);
        }
        finish(answers.interrupted(reason, DEFAULT_RETRY_AFTER));
    }

    @Override
    public RequestSink.Progress progress() {
        boolean running = !finished && currentAttempt != null && currentAttempt.sent();
        return new RequestSink.Progress(attempts.attempts() + (running ? 1 : 0), attempts.lastReplicaId());
    }

    @Override
    public void callerGone() {
        if (finished) {
            return;
        }
        AttemptRun attempt = currentAttempt;
        if (attempt != null) {
            cancelAttempt(attempt);
        }
        attempts.releaseAnswer();
        terminate("caller_gone", 0);
    }

    private void cancelAttempt(AttemptRun attempt) {
        if (!attempt.sent()) {
            linkUsage.release();
        }
        boolean wasSent = attempt.sent();
        if (wasSent && tokens.needed()) {
            tokens.awaitEndOfRun();
            attempt.cancelAndDrain();
        } else {
            attempt.cancel();
        }
        suspect.ended(wasSent);
        slots.slotReleased();
    }

    @Override
    public void attemptDrained(int events, boolean toItsEnd) {
        tokens.attemptDrained(events, toItsEnd);
    }

    @Override
    public void writabilityChanged(boolean writable) {
        if (currentAttempt != null) {
            currentAttempt.pauseReading(!writable);
        }
    }

    /** Writes the final answer before other requests are resumed, as a failure of these must not prevent it. */
    private void finish(FinalAnswer answer) {
        markFinished();
        try {
            answer.writing().run();
        } finally {
            release(answer.outcome(), answer.status());
        }
    }

    private void terminate(String outcome, int status) {
        markFinished();
        release(outcome, status);
    }

    private void markFinished() {
        finished = true;
        preparation.cancel();
        onFinished.run();
        slots.remove(this);
        if (pendingTokens != null) {
            pendingTokens.cancel();
        }
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
    }

    /** Releases tokens and slot, which resumes other requests. What those release may call back into this request. */
    private void release(String outcome, int status) {
        retries.giveBack();
        tokens.close();
        services.metrics().requestEnded(outcome, plan.rank(), elapsed());
        log.ended(outcome, status, summary());
        slots.retryWaiting();
    }

    private void logFailedAttempt(AttemptEnd end) {
        if (end.kind() == AttemptEnd.Kind.WHOLE) {
            return;
        }
        services.metrics().attemptFailed(end.kind().name());
        log.attemptFailed(end, attempts.lastReplicaId(), attempts.lastSoftwareVersion(), suspect.traits(), elapsed());
    }

    private RequestLog.Summary summary() {
        return RequestLog.Summary.of(attempts, tokens.used(), forecast, timing, sinceSentMillis(), elapsed());
    }

    private OptionalLong sinceSentMillis() {
        OptionalLong sent = currentAttempt == null ? OptionalLong.empty() : currentAttempt.sentMillis();
        return sent.isPresent() ? OptionalLong.of(now() - sent.getAsLong()) : sent;
    }

    private long elapsed() {
        return now() - request.arrivedMillis();
    }

    private long now() {
        return services.clock().getAsLong();
    }
}
