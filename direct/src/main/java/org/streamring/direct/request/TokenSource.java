package org.streamring.direct.request;

import java.time.Duration;
import java.util.function.Consumer;

/** Gives prepaid tokens to requests. */
public interface TokenSource {
    /** How a reservation ended. */
    enum Outcome {
        /** The tokens are reserved and must be settled. */
        RESERVED,
        /** What is left of the account can't hold the request at its most. */
        EXHAUSTED,
        /** No tokens are at hand now; there may be some later. */
        UNAVAILABLE
    }

    /** A reservation that may still be waiting. */
    interface Pending {
        /** Stops waiting; has no effect after the outcome was told. */
        void cancel();
    }

    /** Reserves tokens; the outcome may be told before this returns. */
    Pending reserve(String account, long tokens, Consumer<Outcome> then);

    /** Books what a request used, and frees the rest of its reservation. */
    void settle(String account, long reserved, long used);

    /** When tokens may be there again after {@link Outcome#UNAVAILABLE}. */
    Duration untilAvailable();
}
