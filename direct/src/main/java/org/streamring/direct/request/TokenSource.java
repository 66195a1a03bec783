package org.streamring.direct.request;

import java.time.Duration;
import java.util.function.Consumer;

/** Reserves prepaid tokens for requests and settles their usage. */
public interface TokenSource {
    /** Outcome of a reservation. */
    enum Outcome {
        /** The tokens are reserved and must be settled. */
        RESERVED,
        /** The remaining tokens of the account don't cover the declared maximum of the request. */
        EXHAUSTED,
        /** No tokens are available now; some may become available later. */
        UNAVAILABLE
    }

    /** A reservation that may still be waiting. */
    interface Pending {
        /** Cancels the reservation; has no effect after the outcome was delivered. */
        void cancel();
    }

    /** Reserves tokens; the outcome may be delivered before this method returns. */
    Pending reserve(String account, long tokens, Consumer<Outcome> onOutcome);

    /** Settles the usage of a request and releases the remainder of its reservation. */
    void settle(String account, long reserved, long used);

    /** Returns the time until tokens may be available again after {@link Outcome#UNAVAILABLE}. */
    Duration untilAvailable();
}
