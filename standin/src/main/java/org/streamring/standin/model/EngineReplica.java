package org.streamring.standin.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.streamring.kernel.placement.Prompt;

/**
 * A replica of the model service. Each step generates one token of every answer and also reads a chunk of the unread
 * prompts, which delays the answers.
 */
final class EngineReplica implements Replica {
    /** Part of the memory that caches prompt parts; the rest is used by running requests. */
    private static final double CACHE_PART_OF_MEMORY = 0.8;

    private final SimulatedClock time;
    private final Scenario.Engines engines;
    private final double durationFactor;
    private final PromptPartCache cache;
    private final List<Run> running = new ArrayList<>();
    private final Deque<Run> queue = new ArrayDeque<>();
    private double slowdown = 1;
    private double unreachableUntilMillis;
    private boolean stepping;
    private long tokensRead;

    private static final class Run {
        private final Prompt prompt;
        private final Listener listener;
        private long unreadTokens;
        private int tokensLeft;
        private int tokensInEvent;
        private boolean finished;

        private Run(Prompt prompt, int answerTokens, Listener listener) {
            this.prompt = prompt;
            this.tokensLeft = Math.max(1, answerTokens);
            this.listener = listener;
        }
    }

    EngineReplica(SimulatedClock time, Scenario.Engines engines, double durationFactor) {
        this.time = time;
        this.engines = engines;
        this.durationFactor = durationFactor;
        this.cache = new PromptPartCache((long) (engines.memoryTokens() * CACHE_PART_OF_MEMORY));
    }

    /** Returns the number of prompt tokens read, without the cached ones. */
    long tokensRead() {
        return tokensRead;
    }

    @Override
    public Runnable submit(Prompt prompt, int answerTokens, Listener listener) {
        Run run = new Run(prompt, answerTokens, listener);
        queue.add(run);
        if (!stepping) {
            stepping = true;
            time.after(engines.firstMillis() * slowdown, this::step);
        }
        return () -> run.finished = true;
    }

    private void step() {
        running.removeIf(run -> run.finished);
        queue.removeIf(run -> run.finished);
        while (running.size() < engines.slots() && !queue.isEmpty()) {
            Run next = queue.poll();
            next.unreadTokens = cache.read(next.prompt);
            tokensRead += next.unreadTokens;
            running.add(next);
        }
        if (running.isEmpty()) {
            stepping = false;
            return;
        }
        List<Run> decoding =
                running.stream().filter(run -> run.unreadTokens == 0).toList();
        double millis = engines.stepMillis() + engines.stepMillisPerRun() * running.size();
        millis += readPromptChunk() / engines.readPerMilli();
        time.after(millis * durationFactor * slowdown, () -> finish(decoding));
    }

    private double readPromptChunk() {
        long remaining = engines.pieceTokens();
        for (Run run : running) {
            long chunk = Math.min(remaining, run.unreadTokens);
            run.unreadTokens -= chunk;
            remaining -= chunk;
        }
        return (double) (engines.pieceTokens() - remaining);
    }

    private void finish(List<Run> decoding) {
        for (Run run : decoding) {
            if (!run.finished) {
                generateToken(run);
            }
        }
        step();
    }

    private void generateToken(Run run) {
        run.tokensLeft--;
        run.tokensInEvent++;
        if (run.tokensInEvent == engines.tokensPerEvent() || run.tokensLeft == 0) {
            run.tokensInEvent = 0;
            run.listener.onEvent();
        }
        if (run.tokensLeft == 0) {
            run.finished = true;
            run.listener.onComplete();
        }
    }

    @Override
    public boolean reachable() {
        return time.now() >= unreachableUntilMillis;
    }

    @Override
    public void interrupt(double millis) {
        unreachableUntilMillis = time.now() + millis;
        List<Run> interrupted = new ArrayList<>(running);
        interrupted.addAll(queue);
        running.clear();
        queue.clear();
        for (Run run : interrupted) {
            if (!run.finished) {
                run.finished = true;
                run.listener.onBroken();
            }
        }
    }

    @Override
    public void setSlowdown(double factor) {
        slowdown = factor;
    }
}
