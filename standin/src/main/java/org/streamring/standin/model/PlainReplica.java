package org.streamring.standin.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.streamring.kernel.placement.Prompt;

/** A replica of a plain service: some places, a short line, and refusals beyond it. */
final class PlainReplica implements Replica {
    private final Timeline time;
    private final Random random;
    private final Scenario.Plain plain;
    private final double speed;
    private final Deque<Call> line = new ArrayDeque<>();
    private final List<Call> running = new ArrayList<>();
    private double slowness = 1;
    private double darkUntil;

    private static final class Call {
        private final Listener listener;
        private boolean over;

        private Call(Listener listener) {
            this.listener = listener;
        }
    }

    PlainReplica(Timeline time, Random random, Scenario.Plain plain, double speed) {
        this.time = time;
        this.random = random;
        this.plain = plain;
        this.speed = speed;
    }

    @Override
    public Runnable take(Prompt prompt, int answerTokens, Listener listener) {
        Call call = new Call(listener);
        if (running.size() < plain.slots()) {
            begin(call);
        } else if (line.size() < plain.line()) {
            line.add(call);
        } else {
            listener.refused();
        }
        return () -> giveUp(call);
    }

    private void giveUp(Call call) {
        call.over = true;
        if (line.remove(call)) {
            return;
        }
        release(call);
    }

    private void begin(Call call) {
        running.add(call);
        double work = Draws.spread(random, plain.workMillis(), plain.workSpread()) * speed * slowness;
        time.after(work, () -> finish(call));
    }

    private void finish(Call call) {
        if (call.over) {
            return;
        }
        call.over = true;
        release(call);
        call.listener.event();
        call.listener.ended();
    }

    private void release(Call call) {
        if (running.remove(call) && !line.isEmpty() && reachable()) {
            begin(line.poll());
        }
    }

    @Override
    public boolean reachable() {
        return time.now() >= darkUntil;
    }

    @Override
    public void dark(double millis) {
        darkUntil = time.now() + millis;
        List<Call> all = new ArrayList<>(running);
        all.addAll(line);
        running.clear();
        line.clear();
        for (Call call : all) {
            call.over = true;
            call.listener.broken();
        }
    }

    @Override
    public void slow(double factor) {
        slowness = factor;
    }
}
