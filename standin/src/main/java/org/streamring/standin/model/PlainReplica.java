package org.streamring.standin.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.streamring.kernel.placement.Prompt;

/** A replica of a plain service with a number of slots and a short queue; it refuses requests when both are full. */
final class PlainReplica implements Replica {
    private final SimulatedClock time;
    private final Random random;
    private final Scenario.Plain plain;
    private final double durationFactor;
    private final Deque<PendingRequest> queue = new ArrayDeque<>();
    private final List<PendingRequest> running = new ArrayList<>();
    private double slowdown = 1;
    private double unreachableUntilMillis;

    private static final class PendingRequest {
        private final Listener listener;
        private boolean finished;

        private PendingRequest(Listener listener) {
            this.listener = listener;
        }
    }

    PlainReplica(SimulatedClock time, Random random, Scenario.Plain plain, double durationFactor) {
        this.time = time;
        this.random = random;
        this.plain = plain;
        this.durationFactor = durationFactor;
    }

    @Override
    public Runnable submit(Prompt prompt, int answerTokens, Listener listener) {
        PendingRequest request = new PendingRequest(listener);
        if (running.size() < plain.slots()) {
            start(request);
        } else if (queue.size() < plain.line()) {
            queue.add(request);
        } else {
            listener.onRefused();
        }
        return () -> cancel(request);
    }

    private void cancel(PendingRequest request) {
        request.finished = true;
        if (queue.remove(request)) {
            return;
        }
        release(request);
    }

    private void start(PendingRequest request) {
        running.add(request);
        double work = RandomDraws.lognormal(random, plain.workMillis(), plain.workSpread()) * durationFactor * slowdown;
        time.after(work, () -> finish(request));
    }

    private void finish(PendingRequest request) {
        if (request.finished) {
            return;
        }
        request.finished = true;
        release(request);
        request.listener.onEvent();
        request.listener.onComplete();
    }

    private void release(PendingRequest request) {
        if (running.remove(request) && !queue.isEmpty() && reachable()) {
            start(queue.poll());
        }
    }

    @Override
    public boolean reachable() {
        return time.now() >= unreachableUntilMillis;
    }

    @Override
    public void interrupt(double millis) {
        unreachableUntilMillis = time.now() + millis;
        List<PendingRequest> interrupted = new ArrayList<>(running);
        interrupted.addAll(queue);
        running.clear();
        queue.clear();
        for (PendingRequest request : interrupted) {
            request.finished = true;
            request.listener.onBroken();
        }
    }

    @Override
    public void setSlowdown(double factor) {
        slowdown = factor;
    }
}
