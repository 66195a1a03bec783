package org.streamring.standin.model;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.streamring.kernel.placement.PlacedPrompt;
import org.streamring.kernel.placement.PlacementQuery;
import org.streamring.kernel.registry.BackendInstance;

/** A try of a call at one entry, which sends the request to one replica after the other. */
final class EntryTry {
    /** Connect timeout of an entry. */
    private static final double CONNECT_MILLIS = 500;

    private static final double RETRY_AFTER_MILLIS = 250;

    private final ModelEntry entry;
    private final Call call;
    private final ModelEntry.Refusal refusal;
    private final double arrivedMillis;
    private final Set<String> tried = new HashSet<>();
    private int sentAttempts;
    private boolean dispatched;

    EntryTry(ModelEntry entry, Call call, ModelEntry.Refusal refusal, double arrivedMillis) {
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

    /** Sends the request to a replica if one is available; returns whether the try needs to wait no longer. */
    boolean sendOrWait() {
        if (call.ended() || dispatched) {
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
        dispatched = true;
        tried.add(instance.id());
        SimulatedClock time = entry.time();
        entry.coldReplicas().placed(instance.id(), time.millis());
        PlacedPrompt placed =
                entry.placement().started(query, entry.fleet().traits(call.kind()), instance, time.millis());
        Replica replica = entry.fleet().replica(instance.id());
        if (!replica.reachable()) {
            time.after(CONNECT_MILLIS, () -> notConnected(instance, placed));
            return;
        }
        sentAttempts++;
        time.at(entry.sendRequest(call), () -> arrive(replica, instance, placed));
    }

    private void notConnected(BackendInstance instance, PlacedPrompt placed) {
        entry.placement().state(instance.id()).unreachable(entry.time().millis());
        release(placed);
        sendOrWait();
    }

    private void arrive(Replica replica, BackendInstance instance, PlacedPrompt placed) {
        if (call.ended()) {
            release(placed);
            return;
        }
        entry.fleet().requestArrived(instance.id());
        Attempt attempt = new Attempt(instance, placed);
        attempt.cancel = replica.submit(call.prompt(), call.answerTokens(), attempt);
        entry.time().at(call.deadlineMillis(), attempt::cancelAtDeadline);
    }

    private void release(PlacedPrompt placed) {
        dispatched = false;
        placed.ended();
        entry.slotReleased();
    }

    private final class Attempt implements Replica.Listener {
        private final BackendInstance instance;
        private final PlacedPrompt placed;
        private @Nullable Runnable cancel;
        private double deliveredMillis;
        private boolean finished;

        private Attempt(BackendInstance instance, PlacedPrompt placed) {
            this.instance = instance;
            this.placed = placed;
        }

        @Override
        public void onEvent() {
            double processedMillis = entry.receiveEvent();
            placed.answered((long) processedMillis);
            deliveredMillis = entry.forwardEvent(processedMillis);
            call.recordEvent(deliveredMillis);
        }

        @Override
        public void onComplete() {
            finished = true;
            entry.placement().state(instance.id()).succeeded();
            entry.time().at(deliveredMillis, () -> {
                release(placed);
                entry.fleet().callEnded(call, call.completedOutcome());
            });
        }

        @Override
        public void onRefused() {
            finished = true;
            release(placed);
            if (sentAttempts < call.kind().attempts()) {
                sendOrWait();
            } else {
                refuse(RETRY_AFTER_MILLIS);
            }
        }

        @Override
        public void onBroken() {
            finished = true;
            entry.placement().state(instance.id()).failed(entry.time().millis());
            release(placed);
            entry.fleet().callEnded(call, Call.Outcome.FAILED);
        }

        private void cancelAtDeadline() {
            if (!finished && cancel != null) {
                finished = true;
                cancel.run();
                release(placed);
            }
        }
    }
}
