package org.streamring.kernel.admission;

import java.util.function.BooleanSupplier;

/** Whether a request is still wanted at the moment at which it would be sent. Confined to one thread. */
public final class RequestDemand {
    /** No replica answers a request within less than this. */
    static final long LEAST_TIME_MILLIS = 30;

    private final BooleanSupplier callerPresent;
    private final long deadlineMillis;

    /** What speaks against sending a request. */
    public enum Verdict {
        /** Nothing: its caller waits for it. */
        WANTED,
        /** Its caller has left. */
        CALLER_GONE,
        /** Its answer would come too late. */
        NO_TIME
    }

    /**
     * Creates one.
     *
     * @param callerPresent looks whether the caller is there at that moment; what was heard of it in an earlier turn of
     *     an event loop may be seconds old
     * @param deadlineMillis when the request must have its final answer
     */
    public RequestDemand(BooleanSupplier callerPresent, long deadlineMillis) {
        this.callerPresent = callerPresent;
        this.deadlineMillis = deadlineMillis;
    }

    /** Judges now. */
    public Verdict at(long nowMillis) {
        if (!hasTime(nowMillis)) {
            return Verdict.NO_TIME;
        }
        return callerPresent.getAsBoolean() ? Verdict.WANTED : Verdict.CALLER_GONE;
    }

    /** Whether an answer could come in time. */
    public boolean hasTime(long nowMillis) {
        return deadlineMillis - nowMillis > LEAST_TIME_MILLIS;
    }
}
