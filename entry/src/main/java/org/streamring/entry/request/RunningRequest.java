package org.streamring.entry.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.streamring.entry.caller.AnswerSink;
import org.streamring.entry.peer.AttemptListener;
import org.streamring.kernel.ledger.LeaseLedger;
import org.streamring.kernel.ledger.Reservation;
import org.streamring.kernel.ledger.ReserveResult;
import org.streamring.kernel.once.Claim;
import org.streamring.kernel.once.ClaimRecord;
import org.streamring.kernel.once.ClaimResult;
import org.streamring.kernel.policy.CandidateInput;
import org.streamring.kernel.policy.PolicyException;
import org.streamring.kernel.routing.Candidate;
import org.streamring.kernel.routing.RouteQuery;
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
    private static final int MAX_TRIES = 3;
    private static final Set<RefusalReason> FINAL_REASONS =
            Set.of(RefusalReason.KEY_REUSED, RefusalReason.DEADLINE, RefusalReason.FENCED);
    private static final AtomicLong ATTEMPTS = new AtomicLong();
    private static final Duration BUSY_RETRY = Duration.ofSeconds(1);

    private final RequestServices services;
    private final AnswerSink sink;
    private final AnswerDelivery delivery;
    private final List<Runnable> onDone = new ArrayList<>();
    private final Set<String> triedServers = new HashSet<>();
    private final Set<String> triedDomains = new HashSet<>();
    private @Nullable AdmittedRequest request;
    private @Nullable LeaseLedger ledger;
    private @Nullable Reservation reservation;
    private @Nullable Candidate target;
    private @Nullable ScheduledFuture<?> deadlineTimer;
    private long claimVersion;
    private int tries;
    private long startedMillis;
    private boolean submitted;
    private boolean earlierTryMayHaveRun;
    private boolean done;
    private boolean callerGone;

    RunningRequest(RequestServices services, AnswerSink sink) {
        this.services = services;
        this.sink = sink;
        this.delivery = new AnswerDelivery(sink);
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
        return done || reservation != null || reserve(storeAway);
    }

    private synchronized void stopWaiting() {
        if (!done && reservation == null) {
            refuse(Refusal.of(RefusalReason.LEASE_UNAVAILABLE, "no part of the budget could be leased in time"));
        }
    }

    /** Returns false if the request must wait for a lease. */
    private boolean reserve(boolean storeAway) {
        AdmittedRequest admitted = request();
        ledger = services.ledgers().current();
        String attempt = ledger.incarnation() + "#" + ATTEMPTS.incrementAndGet();
        if (admitted.worstCase() == 0) {
            reservation = new Reservation(attempt, admitted.budget(), ledger.incarnation() + "/0", 0);
            continueOnWorker();
            return true;
        }
        ReserveResult result = ledger.reserve(attempt, admitted.budget(), admitted.worstCase(), now());
        if (result instanceof ReserveResult.Reserved reserved) {
            reservation = reserved.reservation();
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
            releaseReservation();
            refuse(Refusal.of(RefusalReason.OVERLOAD, "this entry is overloaded"));
        }
    }

    private synchronized void route() {
        if (done) {
            releaseReservation();
            return;
        }
        AdmittedRequest admitted = request();
        List<Candidate> candidates = services.replicas().candidates(admitted.service(), currentLedger()::mayUse, now());
        Optional<Candidate> chosen = services.selector()
                .choose(
                        candidates,
                        new RouteQuery(
                                triedServers,
                                triedDomains,
                                admitted.keyed() ? admitted.requestKey() : "",
                                admitted.rank(),
                                admitted.prefix()),
                        this::score);
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

    private LeaseLedger currentLedger() {
        if (ledger == null) {
            throw new IllegalStateException("nothing is reserved yet");
        }
        return ledger;
    }

    private double score(Candidate candidate) {
        AdmittedRequest admitted = request();
        CandidateInput input = new CandidateInput(
                candidate.server().name(),
                candidate.server().failureDomain(),
                candidate.server().failureDomain().equals(services.failureDomain()),
                candidate.cost());
        try {
            return admitted.policy().score(admitted.input(), input);
        } catch (PolicyException e) {
            return candidate.cost();
        }
    }

    private void claim(Candidate candidate) {
        AdmittedRequest admitted = request();
        ClaimRecord record = new ClaimRecord(
                candidate.server().name(), candidate.incarnation(), admitted.bodyHash(), reservedAttempt());
        Claim claim = new Claim(admitted.requestKey(), claimVersion, record, now());
        services.claims().commit(claim).whenComplete((result, problem) -> services.workers()
                .execute(() -> claimed(candidate, result)));
    }

    private String reservedAttempt() {
        return reservation == null ? "" : reservation.attempt();
    }

    private synchronized void claimed(Candidate candidate, @Nullable ClaimResult result) {
        if (done) {
            releaseReservation();
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
        boolean there = services.links()
                .incarnationOf(record.sidecar())
                .filter(record.sidecarIncarnation()::equals)
                .isPresent();
        Optional<Candidate> named = services.replicas().listed().stream()
                .filter(server -> server.name().equals(record.sidecar()))
                .map(server -> new Candidate(server, record.sidecarIncarnation(), 0, 1, 1))
                .findFirst();
        if (there && named.isPresent() && currentLedger().mayUse(record.sidecarIncarnation())) {
            submit(named.get());
            return;
        }
        releaseReservation();
        fail(Outcome.UNKNOWN, "an earlier try may have run on a backend server that can't be asked now");
    }

    private void submit(Candidate candidate) {
        if (reservation == null) {
            return;
        }
        target = candidate;
        tries++;
        triedServers.add(candidate.server().name());
        triedDomains.add(candidate.server().failureDomain());
        long leftMillis = request().deadline().toMillis() - (now() - startedMillis);
        Submit frame = AttemptMessages.submit(request(), reservation, candidate.incarnation(), leftMillis);
        submitted = services.links().submit(candidate.server().name(), frame, this);
        if (!submitted) {
            retryOrRefuse(RefusalReason.NO_BACKEND);
        }
    }

    /** Only for a request that is known not to run where it was last sent. */
    private void retryOrRefuse(RefusalReason reason) {
        submitted = false;
        if (reason == RefusalReason.FENCED) {
            currentLedger().giveUp();
            services.ledgerRunner().kick();
        }
        boolean elsewhere = !FINAL_REASONS.contains(reason);
        boolean retry =
                !done && elsewhere && tries < MAX_TRIES && services.retries().tryRetry();
        if (!retry) {
            refuseUnrouted(reason, "the backend servers that were tried did not take the request");
            return;
        }
        services.metrics().counter("streamring.retries").increment();
        continueOnWorker();
    }

    private void refuseUnrouted(RefusalReason reason, String message) {
        releaseReservation();
        refuse(new Refusal(reason, message, BUSY_RETRY));
    }

    private void releaseReservation() {
        if (reservation != null && ledger != null) {
            ledger.release(reservation);
            reservation = null;
        }
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
            releaseReservation();
            delivery.drop();
            noteRetryOfWhatMayHaveRun();
            reserveOrWait();
            return;
        }
        book(end);
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
                && tries < MAX_TRIES;
    }

    private void noteRetryOfWhatMayHaveRun() {
        submitted = false;
        earlierTryMayHaveRun = true;
        services.metrics().counter("streamring.retries").increment();
    }

    private void book(End end) {
        if (reservation == null || ledger == null) {
            return;
        }
        if (end.getBilled()) {
            String backend = target == null ? "" : target.incarnation();
            ledger.finish(reservation, AttemptMessages.billItem(request(), reservation, backend, end, now()), now());
        } else {
            ledger.release(reservation);
        }
        reservation = null;
    }

    @Override
    public synchronized void refused(Refused refused) {
        if (refused.getRanBefore()) {
            releaseReservation();
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
            noteRetryOfWhatMayHaveRun();
            continueOnWorker();
            return;
        }
        if (reservation != null && ledger != null && target != null) {
            ledger.markUncertain(reservation, target.incarnation());
        }
        fail(Outcome.UNKNOWN, "the connection to the backend server was lost");
    }

    private synchronized void deadlinePassed() {
        if (done) {
            return;
        }
        if (!submitted) {
            releaseReservation();
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
        if (submitted && reservation != null) {
            services.links().cancel(reservation.attempt());
        }
    }

    private static long now() {
        return System.currentTimeMillis();
    }
}
