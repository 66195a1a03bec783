package org.streamring.standin.model;

import org.streamring.kernel.placement.Prompt;

/** A request from its caller's point of view, including its retry at another entry. */
final class Call {
    private static final double NO_EVENT_YET = -1;

    private final Scenario.Kind kind;
    private final Prompt prompt;
    private final int answerTokens;
    private final double firstTryMillis;
    private int tries;
    private double firstEventMillis = NO_EVENT_YET;
    private double lastEventMillis;
    private boolean pausedTooLong;
    private boolean ended;

    /** Final result of a call. */
    enum Outcome {
        /** Completed in time, without too long a pause between events. */
        IN_TIME,
        /** Completed, but late or with too long a pause between events. */
        LATE,
        /** Refused, including the retry. */
        REFUSED,
        /** Broken off, or not completed before the deadline. */
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

    /** Counts a try and returns the number of earlier tries. */
    int startTry() {
        return tries++;
    }

    /** Records the arrival of an event of the answer at the caller. */
    void recordEvent(double atMillis) {
        if (firstEventMillis < 0) {
            firstEventMillis = atMillis;
        } else if (atMillis - lastEventMillis > kind.pauseMillis()) {
            pausedTooLong = true;
        }
        lastEventMillis = atMillis;
    }

    /** Returns the outcome of the call, given that its answer is complete. */
    Outcome completedOutcome() {
        boolean firstEventInTime = firstEventMillis >= 0 && firstEventMillis - firstTryMillis <= kind.targetMillis();
        return firstEventInTime && !pausedTooLong ? Outcome.IN_TIME : Outcome.LATE;
    }

    /** Marks the call as ended; returns false if it was already. */
    boolean markEnded() {
        boolean first = !ended;
        ended = true;
        return first;
    }

    boolean ended() {
        return ended;
    }
}
