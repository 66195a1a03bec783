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
 * One request on its way: reserve, choose, claim if need be, submit, pass on the answer, book what was spent.
 *
 * <p>Guarded by its own lock, which comes before the leaf locks of the tables it uses and is never taken while one of
 * them is held.
 */
final class RunningRequest implements AttemptListener {
    private static final Set<RefusalReason> FINAL_REASONS =
            Set.of(RefusalReason.KEY_REUSED, RefusalReason.DEADLINE, RefusalReason.FENCED);
    private static final Duration BUSY_RETRY = Duration.ofSeconds(1);

    private final RequestServices services;
    private final AnswerSink sink;
    private final AnswerDelivery delivery;
    private final List<Runnable> onDone = new ArrayList<>();
    private final RouteFinder routes;
    private @Nullable AdmittedRequest request;
    private final AttemptFunding funding;
    private @Nullable Candidate target;
    private @Nullable ScheduledFuture<?> deadlineTimer;
    private long claimVersion;
    private long startedMillis;
    private boolean submitted;
    private boolean earlierTryMayHaveRun;
    private boolean done;
    private boolean callerGone;

    RunningRequest(RequestServices services, AnswerSink sink) {
        this.services = services;
        this.sink = sink;
        this.delivery = new AnswerDelivery(sink);
        this.funding = new AttemptFunding(services.ledgers());
        this.routes = new RouteFinder(services);
    }

    synchronized void onDone(Runnable action) {
        onDone.add(action);
    }

    /** Gives the final answer that the request was not run, if no earlier try may have run. */
    synchronized void refuse(Refusal refusal) {
        if (earlierTryMayHaveRun) {
            fail(Outcome.UNKNOWN, refusal.message() + "; an earlier try broke off and may have run");
            return;
        }
        if (finishAnswer()) {
            sink.refuse(refusal);
        }
    }

    private void fail(Outcome outcome, String message) {
        if (finishAnswer()) {
            sink.fail(outcome, message);
        }
    }

    private boolean finishAnswer() {
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
        if (reserve(services.ledgerRunner().storeAway())) {
            return;
        }
        services.waiters().add(this::reserveAgain);
        services.ledgerRunner().kick();
        services.loops().next().schedule(this::stopWaiting, services.leaseWait().toMillis(), TimeUnit.MILLISECONDS);
    }

    private AdmittedRequest request() {
        if (request == null) {
            throw new IllegalStateException("not admitted yet");
        }
        return request;
    }

    private synchronized boolean reserveAgain(boolean storeAway) {
        return done || funding.isHeld() || reserve(storeAway);
    }

    private synchronized void stopWaiting() {
        if (!done && !funding.isHeld()) {
            refuse(Refusal.of(RefusalReason.LEASE_UNAVAILABLE, "no part of the budget could be leased in time"));
        }
    }

    /** Returns false if the request must wait for a lease. */
    private boolean reserve(boolean storeAway) {
        AdmittedRequest admitted = request();
        ReserveResult result = funding.reserve(admitted, now());
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
        if (storeAway) {
            refuse(Refusal.of(RefusalReason.LEASE_UNAVAILABLE, "the budget can't be leased from at the moment"));
            return true;
        }
        return false;
    }

    private void continueOnWorker() {
        try {
            services.workers().execute(this::route);
        } catch (RejectedExecutionException e) {
            funding.release();
            refuse(Refusal.of(RefusalReason.OVERLOAD, "this entry is overloaded"));
        }
    }

    private synchronized void route() {
        if (done) {
            funding.release();
            return;
        }
        AdmittedRequest admitted = request();
        Optional<Candidate> chosen = routes.choose(admitted, funding::mayUse, now());
        if (chosen.isEmpty() && followStandingClaim()) {
            return;
        }
        if (chosen.isEmpty()) {
            refuseUnrouted(RefusalReason.NO_BACKEND, "no backend server of the service takes work now");
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
                candidate.server().name(), candidate.incarnation(), admitted.bodyHash(), funding.attempt());
        Claim claim = new Claim(admitted.requestKey(), claimVersion, record, now());
        services.claims().commit(claim).whenComplete((result, problem) -> services.workers()
                .execute(() -> claimed(candidate, result)));
    }

    private synchronized void claimed(Candidate candidate, @Nullable ClaimResult result) {
        if (done) {
            funding.release();
        } else if (result instanceof ClaimResult.Granted granted) {
            claimVersion = granted.row().version();
            submit(candidate);
        } else if (result instanceof ClaimResult.Bound bound) {
            followClaim(bound);
        } else {
            refuseUnrouted(RefusalReason.STORE_UNAVAILABLE, "the request could not be claimed, so it was not run");
        }
    }

    /**
     * A request that runs at most once and can't be routed now may have run in an earlier try. It is told as not run
     * only
     * if no claim stands on it.
     */
    private boolean followStandingClaim() {
        if (!request().claimed() || claimVersion != 0) {
            return false;
        }
        try {
            Optional<ClaimResult.Bound> standing =
                    services.claims().standing(request().requestKey());
            standing.ifPresent(this::followClaim);
            return standing.isPresent();
        } catch (PlatformException e) {
            refuseUnrouted(RefusalReason.STORE_UNAVAILABLE, "the request can't be claimed, so this try was not run");
            return true;
        }
    }

    /** Another try of the same request was claimed for a sidecar: only that one may run it or has its answer. */
    private void followClaim(ClaimResult.Bound bound) {
        ClaimRecord record = bound.record();
        if (!record.bodyHash().equals(request().bodyHash())) {
            refuseUnrouted(RefusalReason.KEY_REUSED, "the identifier was used for another request");
            return;
        }
        claimVersion = bound.row().version();
        Optional<Candidate> named = routes.namedBy(record).filter(server -> funding.mayUse(server.incarnation()));
        if (named.isPresent()) {
            submit(named.get());
            return;
        }
        funding.release();
        fail(Outcome.UNKNOWN, "an earlier try may have run on a backend server that can't be asked now");
    }

    private void submit(Candidate candidate) {
        if (!funding.isHeld()) {
            return;
        }
        target = candidate;
        routes.tried(candidate);
        long leftMillis = request().deadline().toMillis() - (now() - startedMillis);
        Submit frame = AttemptMessages.submit(request(), funding.reservation(), candidate.incarnation(), leftMillis);
        submitted = services.links().submit(candidate.server().name(), frame, this);
        if (!submitted) {
            retryOrRefuse(RefusalReason.NO_BACKEND);
        }
    }

    /** Only for a request that is known not to run where it was last sent. */
    private void retryOrRefuse(RefusalReason reason) {
        submitted = false;
        if (reason == RefusalReason.FENCED) {
            funding.giveUpLedger();
            services.ledgerRunner().kick();
        }
        boolean retry = !done && !FINAL_REASONS.contains(reason) && routes.mayTryAgain() && mayRetryAfter(reason);
        if (!retry) {
            refuseUnrouted(reason, "the backend servers that were tried did not take the request");
            return;
        }
        services.metrics().counter("streamring.retries").increment();
        continueOnWorker();
    }

    /**
     * A refusal for lack of room cost no work, so another server may be asked if one is believed to have room, and
     * never otherwise: under overload that would only multiply messages. Other retries need leave.
     */
    private boolean mayRetryAfter(RefusalReason reason) {
        return reason == RefusalReason.OVERLOAD
                ? routes.hasRoomElsewhere(request(), funding::mayUse, now())
                : services.retries().tryRetry();
    }

    private void refuseUnrouted(RefusalReason reason, String message) {
        funding.release();
        refuse(new Refusal(reason, message, BUSY_RETRY));
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
        boolean failed = !end.getComplete() || delivery.holdsServerError();
        if (failed && end.getTokens() == 0 && mayTryElsewhere()) {
            funding.release();
            delivery.drop();
            noteRetryOfWhatMayHaveRun();
            reserveOrWait();
            return;
        }
        funding.book(request(), end, target == null ? "" : target.incarnation(), now());
        if (!done) {
            delivery.release();
        }
        if (end.getComplete()) {
            if (finishAnswer()) {
                sink.complete();
            }
        } else {
            fail(Outcome.UNKNOWN, "the answer is not whole: " + end.getProblem());
        }
    }

    /**
     * Whether a request that may have run can be tried on another backend server: a second run does no harm, nobody has
     * seen any part of an answer, and no sidecar keeps an answer under the caller's identifier.
     */
    private boolean mayTryElsewhere() {
        return mayRunTwice() && !request().keyed() && services.retries().tryRetry();
    }

    private boolean mayRunTwice() {
        return !done
                && delivery.nothingPassedOn()
                && request().repeatable()
                && !request().claimed()
                && routes.mayTryAgain();
    }

    private void noteRetryOfWhatMayHaveRun() {
        submitted = false;
        earlierTryMayHaveRun = true;
        services.metrics().counter("streamring.retries").increment();
    }

    @Override
    public synchronized void refused(Refused refused) {
        if (refused.getRanBefore()) {
            funding.release();
            fail(Outcome.UNKNOWN, "the request ran before, and its answer is no longer kept");
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

    /**
     * The connection to the sidecar is gone, and the attempt may have run. What was set aside stays so until the
     * sidecar
     * has told. A repeatable request of which nothing was delivered is tried elsewhere; its first attempt is then not
     * billed, because the request is billed once.
     */
    @Override
    public synchronized void lost() {
        if (mayRunTwice() && services.retries().tryRetry()) {
            delivery.drop();
            if (target != null) {
                funding.lostAt(target.incarnation());
            }
            noteRetryOfWhatMayHaveRun();
            continueOnWorker();
            return;
        }
        if (target != null) {
            funding.leaveInDoubt(target.incarnation());
        }
        fail(Outcome.UNKNOWN, "the connection to the backend server was lost");
    }

    private synchronized void deadlinePassed() {
        if (done) {
            return;
        }
        if (!submitted) {
            funding.release();
            refuse(Refusal.of(RefusalReason.DEADLINE, "the deadline passed before the request could run"));
            return;
        }
        cancelAttempt();
        fail(Outcome.UNKNOWN, "the deadline passed while the request was running");
    }

    /**
     * The caller has gone away. Without an identifier nobody can ask for the answer again, so the work is cancelled.
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
        fail(Outcome.UNKNOWN, "the caller went away");
    }

    private void cancelAttempt() {
        if (submitted && funding.isHeld()) {
            services.links().cancel(funding.attempt());
        }
    }

    private static long now() {
        return System.currentTimeMillis();
    }
}
