package org.streamring.standin.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.streamring.kernel.placement.Prompt;

/**
 * A model engine: each step makes one token of every answer, and reads a piece of a prompt beside it, which holds the
 * others up.
 */
final class EngineReplica implements Replica {
    /** Of the memory; the rest is what running requests take. */
    private static final double PART_FOR_PARTS = 0.8;

    private final Timeline time;
    private final Scenario.Engines engines;
    private final double speed;
    private final PartMemory memory;
    private final List<Run> running = new ArrayList<>();
    private final Deque<Run> line = new ArrayDeque<>();
    private double slowness = 1;
    private double darkUntil;
    private boolean stepping;
    private long tokensRead;

    private static final class Run {
        private final Prompt prompt;
        private final Listener listener;
        private long unread;
        private int tokensLeft;
        private int tokensOfEvent;
        private boolean over;

        private Run(Prompt prompt, int answerTokens, Listener listener) {
            this.prompt = prompt;
            this.tokensLeft = Math.max(1, answerTokens);
            this.listener = listener;
        }
    }

    EngineReplica(Timeline time, Scenario.Engines engines, double speed) {
        this.time = time;
        this.engines = engines;
        this.speed = speed;
        this.memory = new PartMemory((long) (engines.memoryTokens() * PART_FOR_PARTS));
    }

    /** Prompt tokens that were read, kept ones left out. */
    long tokensRead() {
        return tokensRead;
    }

    @Override
    public Runnable take(Prompt prompt, int answerTokens, Listener listener) {
        Run run = new Run(prompt, answerTokens, listener);
        line.add(run);
        if (!stepping) {
            stepping = true;
            time.after(engines.firstMillis() * slowness, this::step);
        }
        return () -> run.over = true;
    }

    private void step() {
        running.removeIf(run -> run.over);
        line.removeIf(run -> run.over);
        while (running.size() < engines.slots() && !line.isEmpty()) {
            Run next = line.poll();
            next.unread = memory.read(next.prompt);
            tokensRead += next.unread;
            running.add(next);
        }
        if (running.isEmpty()) {
            stepping = false;
            return;
        }
        List<Run> made = running.stream().filter(run -> run.unread == 0).toList();
        double millis = engines.stepMillis() + engines.stepMillisPerRun() * running.size();
        millis += readPiece() / engines.readPerMilli();
        time.after(millis * speed * slowness, () -> finish(made));
    }

    private double readPiece() {
        long left = engines.pieceTokens();
        for (Run run : running) {
            long piece = Math.min(left, run.unread);
            run.unread -= piece;
            left -= piece;
        }
        return (double) (engines.pieceTokens() - left);
    }

    private void finish(List<Run> made) {
        for (Run run : made) {
            if (!run.over) {
                makeToken(run);
            }
        }
        step();
    }

    private void makeToken(Run run) {
        run.tokensLeft--;
        run.tokensOfEvent++;
        if (run.tokensOfEvent == engines.tokensPerEvent() || run.tokensLeft == 0) {
            run.tokensOfEvent = 0;
            run.listener.event();
        }
        if (run.tokensLeft == 0) {
            run.over = true;
            run.listener.ended();
        }
    }

    @Override
    public boolean reachable() {
        return time.now() >= darkUntil;
    }

    @Override
    public void dark(double millis) {
        darkUntil = time.now() + millis;
        List<Run> all = new ArrayList<>(running);
        all.addAll(line);
        running.clear();
        line.clear();
        for (Run run : all) {
            if (!run.over) {
                run.over = true;
                run.listener.broken();
            }
        }
    }

    @Override
    public void slow(double factor) {
        slowness = factor;
    }
}
