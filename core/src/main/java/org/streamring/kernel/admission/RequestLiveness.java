package org.streamring.kernel.admission;

import java.util.function.BooleanSupplier;

/** Checks whether a request is still worth sending to a replica. Confined to one thread. */
public final class RequestLiveness {
    /** Minimum time that any replica needs to answer a request. */
    static final long MIN_ANSWER_MILLIS = 30;

    private final BooleanSupplier callerPresent;
    private final long deadlineMillis;

    /** Result of the check. */
    public enum Verdict {
        /** The request can be sent: its caller is waiting for the answer. */
        WANTED,
        /** The caller has disconnected. */
        CALLER_GONE,
        /** The answer would arrive too late. */
        NO_TIME
    }

    /**
     * Creates a check for one request.
     *
     * @param callerPresent checks whether the caller is still connected at the time of the call; a state recorded in an
     *     earlier iteration of the event loop may be seconds old
     * @param deadlineMillis time at which the final answer must be complete
     */
    public RequestLiveness(BooleanSupplier callerPresent, long deadlineMillis) {
        this.callerPresent = callerPresent;
        this.deadlineMillis = deadlineMillis;
    }

    /** Checks the request at the given time. */
    public Verdict at(long nowMillis) {
        if (!hasTime(nowMillis)) {
            return Verdict.NO_TIME;
        }
        return callerPresent.getAsBoolean() ? Verdict.WANTED : Verdict.CALLER_GONE;
    }

    /** Returns whether an answer can arrive before the deadline. */
    public boolean hasTime(long nowMillis) {
        return deadlineMillis - nowMillis > MIN_ANSWER_MILLIS;
    }
}
