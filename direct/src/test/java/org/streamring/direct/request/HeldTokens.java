package org.streamring.direct.request;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/** Tokens that are granted at once, or held back until a test grants them. Confined to one thread. */
final class HeldTokens implements TokenSource {
    private final Deque<Runnable> held = new ArrayDeque<>();
    boolean hold;
    Outcome outcome = Outcome.RESERVED;
    long reserved;
    long used;

    @Override
    public Pending reserve(String account, long tokens, Consumer<Outcome> onOutcome) {
        Runnable deliver = () -> {
            reserved += outcome == Outcome.RESERVED ? tokens : 0;
            onOutcome.accept(outcome);
        };
        if (!hold) {
            deliver.run();
            return () -> {};
        }
        held.add(deliver);
        return () -> held.remove(deliver);
    }

    int heldBack() {
        return held.size();
    }

    /** Delivers the outcome of the reservation that was held back first. */
    void deliver() {
        held.removeFirst().run();
    }

    @Override
    public void settle(String account, long tokens, long usedTokens) {
        reserved -= tokens;
        used += usedTokens;
    }

    @Override
    public Duration untilAvailable() {
        return Duration.ZERO;
    }
}
