package org.streamring.direct.request;

import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.streamring.direct.backend.BackendPool;
import org.streamring.direct.caller.CallerRequest;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.suspect.SuspectExchange;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.kernel.registry.BackendRegistry;
import org.streamring.kernel.suspect.RequestDigest;
import org.streamring.kernel.suspect.SuspectDecision;
import org.streamring.kernel.suspect.SuspectTable;
import org.streamring.model.route.PrepaidAccount;

/**
 * Keeps requests from being sent that crash the servers which run them: asked before each attempt, told how each
 * ended. Confined to the event loop.
 */
public final class SuspectGuard {
    private final RequestDigests digests;
    private final SuspectTable table;
    private final SuspectExchange exchange;
    private final BackendRegistry registry;
    private final LongSupplier clock;
    private final DecisionLog log;

    /** Creates one. */
    public SuspectGuard(
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

    /** Starts to watch a request. */
    Watched watch(CallerRequest request, String id, Optional<PrepaidAccount> account) {
        return new Watched(id, digests.of(request, account));
    }

    private void checked(String server, boolean ended) {
        int requests = ended ? table.confirmed(server, clock.getAsLong()) : table.refuted(server);
        if (requests > 0) {
            log.line("server_end_checked", "server", server, "ended", ended, "requests", requests);
            exchange.tellNews();
        }
    }

    /** One that leaves as planned, or whose entry is gone, ends for a reason of its own. */
    private boolean mayHaveCrashed(BackendInstance instance) {
        boolean listed = registry.find(instance.id())
                .filter(known -> !registry.leaves(known))
                .isPresent();
        return listed && !registry.leaves(instance);
    }

    /** One request. */
    final class Watched {
        private final String id;
        private final Optional<RequestDigest> digest;
        private int round;
        private boolean running;

        private Watched(String id, Optional<RequestDigest> digest) {
            this.id = id;
            this.digest = digest;
        }

        /** What it is known by when it comes again; empty while that can't be computed. */
        String digest() {
            return digest.map(RequestDigest::text).orElse("");
        }

        /** If the request may not be sent, when it may be asked for again. */
        Optional<Duration> refusedFor() {
            Optional<SuspectDecision> refusal =
                    digest.map(each -> table.decide(each, clock.getAsLong())).filter(decision -> !decision.sends());
            refusal.ifPresent(this::log);
            return refusal.map(decision -> Duration.ofMillis(decision.retryAfterMillis()));
        }

        private void log(SuspectDecision refusal) {
            log.line(
                    "suspect_refused",
                    "request",
                    id,
                    "digest",
                    digest(),
                    "crashes",
                    refusal.crashes(),
                    "retry_after_ms",
                    refusal.retryAfterMillis());
        }

        /** An attempt begins. */
        void sent() {
            running = true;
            digest.ifPresent(each -> round = table.sent(each));
        }

        /** The attempt is over, in whichever way. */
        void ended() {
            if (running) {
                running = false;
                digest.ifPresent(table::ended);
            }
        }

        /** The attempt brought the whole answer. */
        void answered() {
            digest.ifPresent(each -> table.answered(each, clock.getAsLong()));
            exchange.tellNews();
        }

        /** The attempt broke off. */
        void brokeOff(BackendInstance instance, BackendPool pool) {
            if (digest.isEmpty() || !mayHaveCrashed(instance)) {
                return;
            }
            String server = instance.incarnation();
            if (table.brokeOff(digest.get(), server, round, clock.getAsLong())) {
                pool.checkEnded(ended -> checked(server, ended));
            }
        }
    }
}
