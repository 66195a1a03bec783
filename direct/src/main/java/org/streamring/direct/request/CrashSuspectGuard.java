package org.streamring.direct.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.streamring.direct.backend.BackendPool;
import org.streamring.direct.backend.ProcessExitListener;
import org.streamring.direct.caller.CallerRequest;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.metrics.EntryMetrics;
import org.streamring.direct.suspect.SuspectExchange;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.kernel.registry.BackendRegistry;
import org.streamring.kernel.suspect.RequestTraits;
import org.streamring.kernel.suspect.SentAttempt;
import org.streamring.kernel.suspect.SuspectDecision;
import org.streamring.kernel.suspect.SuspectId;
import org.streamring.kernel.suspect.SuspectTable;

/**
 * Blocks requests that crash the servers which run them, or whose prompts share a part with such requests. It is
 * queried before each attempt and notified of the progress and the end of each attempt. Confined to the event loop.
 */
public final class CrashSuspectGuard {
    /**
     * Number of events after which an answer has gone on after its beginning. A server may crash when it begins an
     * answer, even if it has sent the first event by then.
     */
    private static final int EVENTS_OF_CONTINUED_ANSWER = 2;

    /** A silent server that goes on does so within a few seconds, and then runs what it has received. */
    private static final long REPLACED_ATTEMPT_MAY_RUN_MILLIS = 5_000;

    private final RequestDigests digests;
    private final SuspectTable table;
    private final SuspectExchange exchange;
    private final BackendRegistry registry;
    private final PlannedEnds plannedEnds;
    private final LongSupplier clock;
    private final EntryMetrics metrics;
    private final DecisionLog log;
    /** Attempts that broke off, by incarnation of the server, until it is known whether the server has ended. */
    private final Map<String, BrokenAttempts> brokenAttempts = new HashMap<>();
    /** Attempts that another one replaced while they were silent, by incarnation of the server that is watched. */
    private final Map<String, List<ReplacedAttempt>> replacedAttempts = new HashMap<>();

    /** An attempt that was ended for its silence, and that its server may still run. */
    private record ReplacedAttempt(
            Watched request,
            SentAttempt attempt,
            BackendInstance instance,
            AttemptProgress progress,
            long mayRunUntilMillis) {}

    /** Creates a guard on a table of suspects that is exchanged with other entries. */
    public CrashSuspectGuard(
            RequestDigests digests,
            SuspectTable table,
            SuspectExchange exchange,
            BackendRegistry registry,
            LongSupplier clock,
            EntryMetrics metrics,
            DecisionLog log) {
        this.digests = digests;
        this.table = table;
        this.exchange = exchange;
        this.registry = registry;
        this.plannedEnds = new PlannedEnds(registry);
        this.clock = clock;
        this.metrics = metrics;
        this.log = log;
    }

    /** Returns the guard state of a new request. */
    Watched watch(CallerRequest request, RequestPlan plan) {
        return new Watched(plan.id(), digests.of(request, plan.sharedPartIds(), plan.account()));
    }

    private void watchServer(ReplacedAttempt replaced, BackendPool pool) {
        replacedAttempts
                .computeIfAbsent(replaced.attempt().server(), any -> new ArrayList<>())
                .add(replaced);
        pool.watchProcessExit(REPLACED_ATTEMPT_MAY_RUN_MILLIS, exited -> serverWatched(replaced, exited));
    }

    private void serverWatched(ReplacedAttempt replaced, boolean exited) {
        String server = replaced.attempt().server();
        if (exited) {
            serverEndChecked(server, true);
            return;
        }
        replacedAttempts.computeIfPresent(server, (any, watched) -> {
            watched.remove(replaced);
            return watched.isEmpty() ? null : watched;
        });
    }

    /**
     * Counts the end of a server against the requests that it may still have run. An answer from another server since
     * then shows that a request is sound.
     */
    private void countReplacedAttempts(String server) {
        List<ReplacedAttempt> replaced = replacedAttempts.remove(server);
        if (replaced == null) {
            return;
        }
        replaced.stream()
                .filter(each -> !each.request().answered && clock.getAsLong() <= each.mayRunUntilMillis())
                .filter(each -> mayHaveCrashed(each.instance()))
                .forEach(each -> recordBroken(each.attempt(), each.progress()));
    }

    private void recordBroken(SentAttempt broken, AttemptProgress progress) {
        brokenAttempts
                .computeIfAbsent(broken.server(), any -> new BrokenAttempts())
                .add(progress, broken.traits().parts());
        table.brokeOff(broken, hasContinued(progress.events()), clock.getAsLong());
    }

    private static boolean hasContinued(int events) {
        return events >= EVENTS_OF_CONTINUED_ANSWER;
    }

    private void serverEndChecked(String server, boolean ended) {
        if (ended) {
            countReplacedAttempts(server);
        }
        int requests = ended ? table.confirmed(server, clock.getAsLong()) : table.refuted(server);
        BrokenAttempts broken = brokenAttempts.remove(server);
        if (broken == null) {
            return;
        }
        if (ended) {
            metrics.serverEnded();
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
        return !plannedEnds.isExpected(instance);
    }

    private boolean isReplaced(BackendInstance instance) {
        return registry.find(instance.id())
                .filter(listed -> listed.host().equals(instance.host()) && listed.port() == instance.port())
                .filter(listed -> listed.startedMillis() > instance.startedMillis())
                .isPresent();
    }

    /** Guard state of one request. */
    final class Watched {
        private final String id;
        private final Optional<RequestTraits> traits;
        /** The last attempt. */
        private Optional<SentAttempt> attempt = Optional.empty();

        private boolean running;
        private int events;
        private boolean answered;

        private Watched(String id, Optional<RequestTraits> traits) {
            this.id = id;
            this.traits = traits;
        }

        /** Returns what the request has in common with others; empty while it can't be computed. */
        Optional<RequestTraits> traits() {
            return traits;
        }

        /** Returns the time until a retry if the request must not be sent; empty if it may be sent. */
        Optional<Duration> refusalRetryAfter() {
            Optional<SuspectDecision> refusal = decide().filter(decision -> !decision.maySend());
            refusal.ifPresent(this::logRefusal);
            return refusal.map(decision -> Duration.ofMillis(decision.retryAfterMillis()));
        }

        /** Whether the request may be sent again, as far as that is known now. */
        boolean maySendAgain() {
            return decide().map(SuspectDecision::maySend).orElse(true);
        }

        private Optional<SuspectDecision> decide() {
            return traits.map(each -> table.decide(each, clock.getAsLong()));
        }

        private void logRefusal(SuspectDecision refusal) {
            String kind =
                    refusal.suspect().map(suspect -> suspect.kind().name()).orElse("");
            metrics.suspectRefused(kind);
            log.line(
                    "suspect_refused",
                    "request",
                    id,
                    "digest",
                    refusal.suspect().map(SuspectId::text).orElse(""),
                    "crashes",
                    refusal.crashes(),
                    "retry_after_ms",
                    refusal.retryAfterMillis());
        }

        /** Called when an attempt begins. */
        void sent(BackendInstance instance) {
            running = true;
            events = 0;
            attempt = traits.map(each -> table.sent(each, instance.incarnation(), clock.getAsLong()));
        }

        /** Whether the attempt may still be sent after it waited for a connection. */
        boolean mayStillBeSent() {
            boolean trial = attempt.filter(SentAttempt::trial).isPresent();
            return trial || decide().map(SuspectDecision::maySend).orElse(true);
        }

        /** Called when events of the answer to the attempt were passed on. */
        void eventsDelivered(int count) {
            if (events == 0) {
                attempt.ifPresent(table::begun);
            }
            boolean hadContinued = hasContinued(events);
            events += count;
            if (!hadContinued && hasContinued(events)) {
                attempt.ifPresent(each -> table.continued(each, clock.getAsLong()));
                exchange.scheduleReport();
            }
        }

        /**
         * Called when the attempt has ended, whatever its result.
         *
         * @param wasSent whether the request may have reached the server
         */
        void ended(boolean wasSent) {
            if (running) {
                running = false;
                attempt.ifPresent(each -> table.ended(each, wasSent));
            }
        }

        /**
         * Called when the attempt was ended for its silence and another one takes its place. The server may still run
         * it when it goes on, and crash.
         */
        void replaced(BackendInstance instance, BackendPool pool, AttemptProgress progress) {
            ended(true);
            long mayRunUntil = clock.getAsLong() + REPLACED_ATTEMPT_MAY_RUN_MILLIS;
            attempt.ifPresent(
                    silent -> watchServer(new ReplacedAttempt(this, silent, instance, progress, mayRunUntil), pool));
        }

        /** Called when the attempt returned the complete answer. */
        void answered() {
            answered = true;
            attempt.ifPresent(each -> table.answered(each, clock.getAsLong()));
            exchange.scheduleReport();
        }

        /** Called when the attempt broke off; checks whether the process of the server has ended. */
        void attemptBroken(BackendInstance instance, BackendPool pool, AttemptProgress progress) {
            if (attempt.isEmpty() || !mayHaveCrashed(instance)) {
                return;
            }
            SentAttempt broken = attempt.get();
            recordBroken(broken, progress);
            pool.checkProcessExited(exitListener(broken, instance, progress));
        }

        private ProcessExitListener exitListener(
                SentAttempt broken, BackendInstance instance, AttemptProgress progress) {
            return new ProcessExitListener() {
                @Override
                public void checked(boolean exited) {
                    serverEndChecked(broken.server(), exited);
                }

                @Override
                public boolean isReplaced() {
                    return CrashSuspectGuard.this.isReplaced(instance);
                }

                /** An answer from another server since then shows that the request is sound. */
                @Override
                public void foundReplaced() {
                    if (!answered && mayHaveCrashed(instance)) {
                        recordBroken(broken, progress);
                    }
                }
            };
        }
    }
}
