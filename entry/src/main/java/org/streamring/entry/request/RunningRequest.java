package org.streamring.entry.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.streamring.entry.caller.AnswerSink;
import org.streamring.entry.peer.AttemptListener;
import org.streamring.kernel.ledger.ReserveResult;
import org.streamring.kernel.once.Claim;
import org.streamring.kernel.once.ClaimRecord;
import org.streamring.kernel.once.ClaimResult;
import org.streamring.kernel.routing.Candidate;
import org.streamring.kernel.table.PlatformException;
import org.streamring.model.request.Outcome;
import org.streamring.model.request.Refusal;
import org.streamring.model.request.RefusalReason;
import org.streamring.net.generated.Wire.Begin;
import org.streamring.net.generated.Wire.Chunk;
import org.streamring.net.generated.Wire.End;
import org.streamring.net.generated.Wire.Refused;
import org.streamring.net.generated.Wire.Submit;

/**
 * State machine of one request: reserves tokens, chooses a backend server, commits a claim if one is needed, submits
 * the attempt, forwards the answer and records the usage.
 *
 * <p>Guarded by its own lock. This lock is acquired before the locks of the tables that the request uses, and never
 * while one of those is held.
 */
final class RunningRequest implements AttemptListener {
    private static final Set<RefusalReason> FINAL_REASONS =
            Set.of(RefusalReason.KEY_REUSED, RefusalReason.DEADLINE, RefusalReason.FENCED);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final RequestServices services;
    private final AnswerSink sink;
    private final AnswerDelivery delivery;
    private final List<Runnable> onDone = new ArrayList<>();
    private final RouteFinder routes;
    private @Nullable AdmittedRequest request;
    private final AttemptReservation attemptReservation;
    private @Nullable Candidate target;
    private @Nullable ScheduledFuture<?> deadlineTimer;
    private long claimVersion;
    private long startedMillis;
    private boolean submitted;
    private boolean earlierAttemptMayHaveRun;
    private boolean retrySecured;
    private boolean done;
    private boolean callerGone;

    RunningRequest(RequestServices services, AnswerSink sink) {
        this.services = services;
        this.sink = sink;
        this.delivery = new AnswerDelivery(sink);
        this.attemptReservation = new AttemptReservation(services.ledgers());
        this.routes = new RouteFinder(services);
    }

    synchronized void onDone(Runnable action) {
        onDone.add(action);
    }

    /**
     * Gives the final answer that the request was not run, or that the outcome is unknown if an earlier attempt may
     * have run.
     */
    synchronized void refuse(Refusal refusal) {
        if (earlierAttemptMayHaveRun) {
            fail(Outcome.UNKNOWN, refusal.message() + "; an earlier attempt was interrupted and may have run");
            return;
        }
        if (markDone()) {
            sink.refuse(refusal);
        }
    }

    private void fail(Outcome outcome, String message) {
        if (markDone()) {
            sink.fail(outcome, message);
        }
    }

    private boolean markDone() {
        if (done) {
            return false;
        }
        done = true;
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        onDone.forEach(Runnable::run);
        return true;
    }

    /** Starts an admitted request. */
    synchronized void start(AdmittedRequest admitted) {
        if (done) {
            return;
        }
        request = admitted;
        startedMillis = now();
        services.retries().firstTry();
        deadlineTimer = services.loops()
                .next()
                .schedule(this::deadlinePassed, admitted.deadline().toMillis(), TimeUnit.MILLISECONDS);
        reserveOrWait();
    }

    private void reserveOrWait() {
        if (reserve(services.ledgerRunner().storeUnreachable())) {
            return;
        }
        services.waiters().add(this::retryReservation);
        services.ledgerRunner().requestPlan();
        services.loops()
                .next()
                .schedule(this::leaseWaitExpired, services.leaseWait().toMillis(), TimeUnit.MILLISECONDS);
    }

    private AdmittedRequest request() {
        if (request == null) {
            throw new IllegalStateException("not admitted yet");
        }
        return request;
    }

    private synchronized boolean retryReservation(boolean storeUnreachable) {
        return done || attemptReservation.isHeld() || reserve(storeUnreachable);
    }

    private synchronized void leaseWaitExpired() {
        if (!done && !attemptReservation.isHeld()) {
            refuse(Refusal.of(RefusalReason.LEASE_UNAVAILABLE, "no lease on the budget was obtained in time"));
        }
    }

    /** Tries to reserve tokens; returns false if the request must wait for a lease. */
    private boolean reserve(boolean storeUnreachable) {
        AdmittedRequest admitted = request();
        ReserveResult result = attemptReservation.reserve(admitted, now());
        if (result instanceof ReserveResult.Reserved) {
            continueOnWorker();
            return true;
        }
        if (result instanceof ReserveResult.UsedUp usedUp) {
            refuse(new Refusal(
                    RefusalReason.BUDGET_USED_UP,
                    "the budget does not cover up to " + admitted.worstCase() + " tokens",
                    usedUp.retryAfter()));
            return true;
        }
        if (storeUnreachable) {
            refuse(Refusal.of(
                    RefusalReason.LEASE_UNAVAILABLE, "no lease can be obtained because the store is unreachable"));
            return true;
        }
        return false;
    }

    private void continueOnWorker() {
        try {
            services.workers().execute(this::route);
        } catch (RejectedExecutionException e) {
            attemptReservation.release();
            refuse(Refusal.of(RefusalReason.OVERLOAD, "this entry is overloaded"));
        }
    }

    private synchronized void route() {
        if (done) {
            attemptReservation.release();
            return;
        }
        AdmittedRequest admitted = request();
        Optional<Candidate> chosen = routes.choose(admitted, attemptReservation::mayUse, now());
        if (chosen.isEmpty() && followExistingClaim()) {
            return;
        }
        if (chosen.isEmpty()) {
            releaseAndRefuse(
                    RefusalReason.NO_BACKEND, "no backend server of the service accepts requests at the moment");
            return;
        }
        if (admitted.claimed()) {
            claim(chosen.get());
        } else {
            submit(chosen.get());
        }
    }

    private void claim(Candidate candidate) {
        AdmittedRequest admitted = request();
        ClaimRecord record = new ClaimRecord(
                candidate.server().name(), candidate.incarnation(), admitted.bodyHash(), attemptReservation.attempt());
        Claim claim = new Claim(admitted.requestKey(), claimVersion, record, now());
        services.claims().commit(claim).whenComplete((result, problem) -> services.workers()
                .execute(() -> claimCompleted(candidate, result)));
    }

    private synchronized void claimCompleted(Candidate candidate, @Nullable ClaimResult result) {
        if (done) {
            attemptReservation.release();
        } else if (result instanceof ClaimResult.Granted granted) {
            claimVersion = granted.row().version();
            submit(candidate);
        } else if (result instanceof ClaimResult.Bound bound) {
            followClaim(bound);
        } else {
            releaseAndRefuse(RefusalReason.STORE_UNAVAILABLE, "the request could not be claimed, so it was not run");
        }
    }

    /**
     * Follows an existing claim of a request that runs at most once and can't be routed. Such a request may have run in
     * an earlier attempt; it is reported as not run only if no claim exists for it.
     */
    private boolean followExistingClaim() {
        if (!request().claimed() || claimVersion != 0) {
            return false;
        }
        try {
            Optional<ClaimResult.Bound> existingClaim =
                    services.claims().existingClaim(request().requestKey());
            existingClaim.ifPresent(this::followClaim);
            return existingClaim.isPresent();
        } catch (PlatformException e) {
            releaseAndRefuse(
                    RefusalReason.STORE_UNAVAILABLE, "the request can't be claimed, so this attempt was not run");
            return true;
        }
    }

    /**
     * Follows the claim of another attempt of the same request: only the sidecar named in the claim may run the request
     * or has its answer.
     */
    private void followClaim(ClaimResult.Bound bound) {
        ClaimRecord record = bound.record();
        if (!record.bodyHash().equals(request().bodyHash())) {
            releaseAndRefuse(RefusalReason.KEY_REUSED, "the identifier was already used for a different request");
            return;
        }
        claimVersion = bound.row().version();
        Optional<Candidate> named =
                routes.namedBy(record).filter(server -> attemptReservation.mayUse(server.incarnation()));
        if (named.isPresent()) {
            submit(named.get());
            return;
        }
        attemptReservation.release();
        fail(Outcome.UNKNOWN, "an earlier attempt may have run on a backend server that is unreachable at the moment");
    }

    private void submit(Candidate candidate) {
        if (!attemptReservation.isHeld()) {
            return;
        }
        target = candidate;
        routes.recordAttempt(candidate);
        long leftMillis = request().deadline().toMillis() - (now() - startedMillis);
        Submit frame = AttemptMessages.submit(
                request(), attemptReservation.reservation(), candidate.incarnation(), leftMillis);
        submitted = services.links().submit(candidate.server().name(), frame, this);
        if (!submitted) {
            retryOrRefuse(RefusalReason.NO_BACKEND);
        }
    }

    /** Retries or refuses the request. Called only if the request certainly does not run where it was last sent. */
    private void retryOrRefuse(RefusalReason reason) {
        submitted = false;
        if (reason == RefusalReason.FENCED) {
            attemptReservation.abandonLedger();
            services.ledgerRunner().requestPlan();
        }
        boolean retry = !done && !FINAL_REASONS.contains(reason) && routes.attemptsLeft() && mayRetryAfter(reason);
        if (!retry) {
            releaseAndRefuse(reason, "the backend servers that were tried did not accept the request");
            return;
        }
        services.metrics().counter("streamring.retries").increment();
        continueOnWorker();
    }

    /**
     * Returns whether a retry is allowed after a refusal. A refusal for lack of capacity cost no work, so another
     * server is tried if one has free capacity according to its last reported state, and otherwise never, because under
     * overload a retry would only multiply messages. All other retries count against the retry budget.
     */
    private boolean mayRetryAfter(RefusalReason reason) {
        return reason == RefusalReason.OVERLOAD
                ? routes.hasRoomElsewhere(request(), attemptReservation::mayUse, now())
                : services.retries().tryRetry();
    }

    private void releaseAndRefuse(RefusalReason reason, String message) {
        attemptReservation.release();
        refuse(new Refusal(reason, message, RETRY_AFTER));
    }

    @Override
    public synchronized void begun(Begin begin) {
        if (!done) {
            delivery.begin(begin);
        }
    }

    @Override
    public synchronized void chunk(Chunk chunk) {
        if (!done) {
            delivery.chunk(chunk);
        }
    }

    @Override
    public synchronized void ended(End end) {
        boolean failed = !end.getComplete() || delivery.hasServerError();
        if (failed && end.getTokens() == 0 && mayRetryElsewhere()) {
            attemptReservation.release();
            delivery.discard();
            recordRetryAfterPossibleRun();
            reserveOrWait();
            return;
        }
        attemptReservation.recordUsage(request(), end, target == null ? "" : target.incarnation(), now());
        if (!done) {
            delivery.release();
        }
        if (end.getComplete()) {
            if (markDone()) {
                sink.complete();
            }
        } else {
            fail(Outcome.UNKNOWN, "the answer is incomplete: " + end.getProblem());
        }
    }

    /**
     * Returns whether a request that may have run can be retried on another backend server: a second run does no harm,
     * no part of an answer was forwarded, and no sidecar keeps an answer under the caller's identifier.
     */
    private boolean mayRetryElsewhere() {
        return isSafeToRunAgain() && !request().keyed() && services.retries().tryRetry();
    }

    private boolean isSafeToRunAgain() {
        return !done
                && delivery.nothingForwarded()
                && request().repeatable()
                && !request().claimed()
                && routes.attemptsLeft();
    }

    private void recordRetryAfterPossibleRun() {
        submitted = false;
        earlierAttemptMayHaveRun = true;
        services.metrics().counter("streamring.retries").increment();
    }

    @Override
    public synchronized void refused(Refused refused) {
        if (refused.getRanBefore()) {
            attemptReservation.release();
            fail(Outcome.UNKNOWN, "the request ran before, and its answer is no longer stored");
            return;
        }
        RefusalReason reason;
        try {
            reason = RefusalReason.valueOf(refused.getReason());
        } catch (IllegalArgumentException e) {
            reason = RefusalReason.NO_BACKEND;
        }
        retryOrRefuse(reason);
    }

    @Override
    public synchronized boolean secureRetry() {
        retrySecured = isSafeToRunAgain()
                && routes.hasRoomElsewhere(request(), attemptReservation::mayUse, now())
                && services.retries().tryRetry();
        return retrySecured;
    }

    /**
     * Handles the loss of the connection to the sidecar; the attempt may have run. The tokens stay reserved until the
     * sidecar has reported the result. A repeatable request is retried elsewhere if no part of its answer was
     * forwarded; its first attempt is then not billed, because each request is billed once.
     */
    @Override
    public synchronized void lost() {
        boolean retry =
                isSafeToRunAgain() && (retrySecured || services.retries().tryRetry());
        retrySecured = false;
        if (retry) {
            delivery.discard();
            if (target != null) {
                attemptReservation.recordLostAt(target.incarnation());
            }
            recordRetryAfterPossibleRun();
            continueOnWorker();
            return;
        }
        if (target != null) {
            attemptReservation.markReservationUncertain(target.incarnation());
        }
        fail(Outcome.UNKNOWN, "the connection to the backend server was lost");
    }

    private synchronized void deadlinePassed() {
        if (done) {
            return;
        }
        if (!submitted) {
            attemptReservation.release();
            refuse(Refusal.of(RefusalReason.DEADLINE, "the deadline passed before the request could run"));
            return;
        }
        cancelAttempt();
        fail(Outcome.UNKNOWN, "the deadline passed while the request was running");
    }

    /**
     * Handles the loss of the caller's connection. If the caller sent no identifier, the answer can't be requested
     * again, so the attempt is cancelled.
     */
    synchronized void callerGone() {
        if (callerGone) {
            return;
        }
        callerGone = true;
        boolean abandoned = !done && (request == null || !request.keyed());
        if (!abandoned) {
            return;
        }
        cancelAttempt();
        fail(Outcome.UNKNOWN, "the caller closed its connection");
    }

    private void cancelAttempt() {
        if (submitted && attemptReservation.isHeld()) {
            services.links().cancel(attemptReservation.attempt());
        }
    }

    private static long now() {
        return System.currentTimeMillis();
    }
}
