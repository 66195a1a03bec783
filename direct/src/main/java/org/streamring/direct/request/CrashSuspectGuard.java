package org.streamring.direct.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.streamring.direct.backend.BackendPool;
import org.streamring.direct.caller.CallerRequest;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.suspect.SuspectExchange;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.kernel.registry.BackendRegistry;
import org.streamring.kernel.suspect.RequestTraits;
import org.streamring.kernel.suspect.SuspectDecision;
import org.streamring.kernel.suspect.SuspectId;
import org.streamring.kernel.suspect.SuspectTable;

/**
 * Blocks requests that crash the servers which run them. It is queried before each attempt and notified of the end of
 * each attempt. Confined to the event loop.
 */
public final class CrashSuspectGuard {
    private final RequestDigests digests;
    private final SuspectTable table;
    private final SuspectExchange exchange;
    private final BackendRegistry registry;
    private final LongSupplier clock;
    private final DecisionLog log;
    /** Attempts that broke off, by incarnation of the server, until it is known whether the server has ended. */
    private final Map<String, BrokenAttempts> brokenAttempts = new HashMap<>();

    /** Creates a guard on a table of suspects that is exchanged with other entries. */
    public CrashSuspectGuard(
            RequestDigests digests,
            SuspectTable table,
            SuspectExchange exchange,
            BackendRegistry registry,
            LongSupplier clock,
            DecisionLog log) {
        this.digests = digests;
        this.table = table;
        this.exchange = exchange;
        this.registry = registry;
        this.clock = clock;
        this.log = log;
    }

    /** Returns the guard state of a new request. */
    Watched watch(CallerRequest request, RequestPlan plan) {
        return new Watched(plan.id(), digests.of(request, plan.sharedPartIds(), plan.account()));
    }

    private void serverEndChecked(String server, boolean ended) {
        int requests = ended ? table.confirmed(server, clock.getAsLong()) : table.refuted(server);
        BrokenAttempts broken = brokenAttempts.remove(server);
        if (broken == null) {
            return;
        }
        log.line(
                "server_end_checked",
                "server",
                server,
                "ended",
                ended,
                "requests",
                requests,
                "waiting",
                broken.waiting(),
                "begun",
                broken.begun(),
                "with_events",
                broken.withEvents(),
                "parts",
                broken.commonParts());
        exchange.scheduleReport();
    }

    /** Whether a server may have crashed: one that is shutting down or is no longer listed ends for another reason. */
    private boolean mayHaveCrashed(BackendInstance instance) {
        boolean listed = registry.find(instance.id())
                .filter(known -> !registry.isShuttingDown(known))
                .isPresent();
        return listed && !registry.isShuttingDown(instance);
    }

    /** Guard state of one request. */
    final class Watched {
        private final String id;
        private final Optional<RequestTraits> traits;
        private final Optional<SuspectId> digest;
        private int round;
        private boolean running;

        private Watched(String id, Optional<RequestTraits> traits) {
            this.id = id;
            this.traits = traits;
            this.digest = traits.map(RequestTraits::request);
        }

        /** Returns what the request has in common with others; empty while it can't be computed. */
        Optional<RequestTraits> traits() {
            return traits;
        }

        /** Returns the time until a retry if the request must not be sent; empty if it may be sent. */
        Optional<Duration> refusalRetryAfter() {
            Optional<SuspectDecision> refusal =
                    digest.map(each -> table.decide(each, clock.getAsLong())).filter(decision -> !decision.maySend());
            refusal.ifPresent(this::log);
            return refusal.map(decision -> Duration.ofMillis(decision.retryAfterMillis()));
        }

        private void log(SuspectDecision refusal) {
            log.line(
                    "suspect_refused",
                    "request",
                    id,
                    "digest",
                    digest.map(SuspectId::text).orElse(""),
                    "crashes",
                    refusal.crashes(),
                    "retry_after_ms",
                    refusal.retryAfterMillis());
        }

        /** Called when an attempt begins. */
        void sent() {
            running = true;
            digest.ifPresent(each -> round = table.sent(each));
        }

        /** Called when the attempt has ended, whatever its result. */
        void ended() {
            if (running) {
                running = false;
                digest.ifPresent(table::ended);
            }
        }

        /** Called when the attempt returned the complete answer. */
        void answered() {
            digest.ifPresent(each -> table.answered(each, clock.getAsLong()));
            exchange.scheduleReport();
        }

        /** Called when the attempt broke off; checks whether the process of the server has ended. */
        void attemptBroken(BackendInstance instance, BackendPool pool, AttemptProgress progress) {
            if (digest.isEmpty() || !mayHaveCrashed(instance)) {
                return;
            }
            String server = instance.incarnation();
            brokenAttempts
                    .computeIfAbsent(server, any -> new BrokenAttempts())
                    .add(progress, traits.map(RequestTraits::parts).orElse(List.of()));
            if (table.brokeOff(digest.get(), server, round, clock.getAsLong())) {
                pool.checkProcessExited(ended -> serverEndChecked(server, ended));
            }
        }
    }
}
