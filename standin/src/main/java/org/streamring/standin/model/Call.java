package org.streamring.standin.model;

import org.streamring.kernel.placement.Prompt;

/** One request as its caller sees it, from the first try to the last. */
final class Call {
    private static final double NEVER = -1;

    private final Scenario.Kind kind;
    private final Prompt prompt;
    private final int answerTokens;
    private final double firstTryMillis;
    private int tries;
    private double firstEventMillis = NEVER;
    private double newestEventMillis;
    private boolean paused;
    private boolean over;

    /** How a call ended. */
    enum Outcome {
        /** Whole, in time and without a pause that is too long. */
        IN_TIME,
        /** Whole, but late. */
        LATE,
        /** Refused, also after its retry. */
        REFUSED,
        /** Broken off, or not whole at its deadline. */
        FAILED
    }

    Call(Scenario.Kind kind, Prompt prompt, int answerTokens, double firstTryMillis) {
        this.kind = kind;
        this.prompt = prompt;
        this.answerTokens = answerTokens;
        this.firstTryMillis = firstTryMillis;
    }

    Scenario.Kind kind() {
        return kind;
    }

    Prompt prompt() {
        return prompt;
    }

    int answerTokens() {
        return answerTokens;
    }

    double firstTryMillis() {
        return firstTryMillis;
    }

    double deadlineMillis() {
        return firstTryMillis + kind.deadlineMillis();
    }

    /** Notes another try; returns how many there were before. */
    int tryAgain() {
        return tries++;
    }

    /** Notes that some of the answer arrived. */
    void event(double atMillis) {
        if (firstEventMillis < 0) {
            firstEventMillis = atMillis;
        } else if (atMillis - newestEventMillis > kind.pauseMillis()) {
            paused = true;
        }
        newestEventMillis = atMillis;
    }

    /** How a whole answer counts. */
    Outcome whole() {
        boolean early = firstEventMillis >= 0 && firstEventMillis - firstTryMillis <= kind.targetMillis();
        return early && !paused ? Outcome.IN_TIME : Outcome.LATE;
    }

    /** Whether it has not ended before; it has from now on. */
    boolean endOnce() {
        boolean first = !over;
        over = true;
        return first;
    }

    boolean over() {
        return over;
    }
}
