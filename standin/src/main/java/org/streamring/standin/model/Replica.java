package org.streamring.standin.model;

import org.streamring.kernel.placement.Prompt;

/** One replica of a service, in simulated time. */
interface Replica {
    /** Hears what becomes of a request; after the end nothing more comes. */
    interface Listener {
        /** Some of the answer was made. */
        void event();

        /** The answer is whole. */
        void ended();

        /** The replica refused it, and has not run it. */
        void refused();

        /** It broke off, or never answered. */
        void broken();
    }

    /**
     * Takes a request.
     *
     * @param answerTokens tokens of the answer; 0 for a plain request
     * @return gives the request up
     */
    Runnable take(Prompt prompt, int answerTokens, Listener listener);

    /** Whether connections to it are made. */
    boolean reachable();

    /** It is dark from now on for a while: what runs breaks off, and nothing is reached. */
    void dark(double millis);

    /** Everything takes so many times as long from now on. */
    void slow(double factor);
}
