package org.streamring.standin.model;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.streamring.kernel.placement.PlacedPrompt;
import org.streamring.kernel.placement.PlacementQuery;
import org.streamring.kernel.registry.BackendInstance;

/** One try of a call at one entry: the replicas that it is sent to, one after the other. */
final class Try {
    /** An entry waits so long for a connection. */
    private static final double CONNECT_MILLIS = 500;

    private static final double RETRY_SOON_MILLIS = 250;

    private final ModelEntry entry;
    private final Call call;
    private final ModelEntry.Refusal refusal;
    private final double arrivedMillis;
    private final Set<String> tried = new HashSet<>();
    private int sent;
    private boolean planned;

    Try(ModelEntry entry, Call call, ModelEntry.Refusal refusal, double arrivedMillis) {
        this.entry = entry;
        this.call = call;
        this.refusal = refusal;
        this.arrivedMillis = arrivedMillis;
    }

    Call call() {
        return call;
    }

    double arrivedMillis() {
        return arrivedMillis;
    }

    void refuse(double afterMillis) {
        refusal.refused(afterMillis);
    }

    /** Sends the call to a replica; tells whether it no longer waits. */
    boolean place() {
        if (call.over() || planned) {
            return true;
        }
        PlacementQuery query = new PlacementQuery(
                call.prompt(),
                call.kind().rank(),
                call.kind().targetMillis(),
                call.kind().pauseMillis(),
                "domain-" + entry.number() % 3,
                tried);
        Optional<BackendInstance> chosen = entry.choose(call, query);
        if (chosen.isEmpty()) {
            entry.waitOrRefuse(this);
            return false;
        }
        send(chosen.get(), query);
        return true;
    }

    private void send(BackendInstance instance, PlacementQuery query) {
        planned = true;
        tried.add(instance.id());
        Timeline time = entry.time();
        entry.cold().placed(instance.id(), time.millis());
        PlacedPrompt placed =
                entry.placement().started(query, entry.fleet().traits(call.kind()), instance, time.millis());
        Replica replica = entry.fleet().replica(instance.id());
        if (!replica.reachable()) {
            time.after(CONNECT_MILLIS, () -> notConnected(instance, placed));
            return;
        }
        sent++;
        time.at(entry.sent(call), () -> arrive(replica, instance, placed));
    }

    private void notConnected(BackendInstance instance, PlacedPrompt placed) {
        entry.placement().state(instance.id()).unreachable(entry.time().millis());
        release(placed);
        place();
    }

    private void arrive(Replica replica, BackendInstance instance, PlacedPrompt placed) {
        if (call.over()) {
            release(placed);
            return;
        }
        entry.fleet().arrives(instance.id());
        Attempt attempt = new Attempt(instance, placed);
        attempt.giveUp = replica.take(call.prompt(), call.answerTokens(), attempt);
        entry.time().at(call.deadlineMillis(), attempt::leave);
    }

    private void release(PlacedPrompt placed) {
        planned = false;
        placed.ended();
        entry.freed();
    }

    private final class Attempt implements Replica.Listener {
        private final BackendInstance instance;
        private final PlacedPrompt placed;
        private @Nullable Runnable giveUp;
        private double passedOnMillis;
        private boolean over;

        private Attempt(BackendInstance instance, PlacedPrompt placed) {
            this.instance = instance;
            this.placed = placed;
        }

        @Override
        public void event() {
            double taken = entry.taken();
            placed.answered((long) taken);
            passedOnMillis = entry.passedOn(taken);
            call.event(passedOnMillis);
        }

        @Override
        public void ended() {
            over = true;
            entry.placement().state(instance.id()).succeeded();
            entry.time().at(passedOnMillis, () -> {
                release(placed);
                entry.fleet().ended(call, call.whole());
            });
        }

        @Override
        public void refused() {
            over = true;
            release(placed);
            if (sent < call.kind().attempts()) {
                place();
            } else {
                refuse(RETRY_SOON_MILLIS);
            }
        }

        @Override
        public void broken() {
            over = true;
            entry.placement().state(instance.id()).failed(entry.time().millis());
            release(placed);
            entry.fleet().ended(call, Call.Outcome.FAILED);
        }

        private void leave() {
            if (!over && giveUp != null) {
                over = true;
                giveUp.run();
                release(placed);
            }
        }
    }
}
