package org.streamring.standin.model;

import org.streamring.kernel.placement.Prompt;

/** A replica of a service in simulated time. */
interface Replica {
    /** Receives the progress of a request; no method is called after the request has ended. */
    interface Listener {
        /** Called when the replica has generated an event of the answer. */
        void onEvent();

        /** Called when the answer is complete. */
        void onComplete();

        /** Called when the replica has refused the request without processing it. */
        void onRefused();

        /** Called when the request was interrupted, whether or not a part of the answer was sent. */
        void onBroken();
    }

    /**
     * Submits a request.
     *
     * @param answerTokens tokens of the answer; 0 for a plain request
     * @return an action that cancels the request
     */
    Runnable submit(Prompt prompt, int answerTokens, Listener listener);

    /** Returns whether the replica accepts connections. */
    boolean reachable();

    /** Interrupts all requests and makes the replica unreachable for the given time. */
    void interrupt(double millis);

    /** Sets the factor by which all durations are multiplied from now on. */
    void setSlowdown(double factor);
}
