package org.streamring.direct.request;

/** Callbacks of the request that the attempt belongs to. */
interface AttemptOwner extends AttemptSendListener {
    /** Called regularly while an attempt is silent whose request may be sent again. */
    void attemptSilent(AttemptRun run, SilentAttempt silence);

    /** Called when an attempt that was silent is heard again. */
    void attemptHeard(SilentAttempt before);

    /** Called when the request was sent and may run. */
    void attemptSent();

    /** Called when events were passed on to the caller. */
    void eventsDelivered(int events);

    /**
     * Called once after {@link AttemptRun#cancelAndDrain}.
     *
     * @param events events that arrived after the cancellation, also an incomplete one
     * @param toItsEnd whether the answer was received up to the point where the replica ended it
     */
    void attemptDrained(int events, boolean toItsEnd);
}
