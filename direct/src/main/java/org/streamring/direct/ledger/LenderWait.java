package org.streamring.direct.ledger;

import java.util.OptionalLong;

/** Decides for how long a request waits for the lenders that it has asked. Confined to the event loop. */
final class LenderWait {
    /** Within this time lenders are asked again, and leases and rising usage caps serve the request as well. */
    private static final long MIN_LATE_LENDER_WAIT_MILLIS = 200;
    /** As long as the silence after which the connection to a lender is closed. */
    private static final long MAX_LATE_LENDER_WAIT_MILLIS = 1_500;

    private Lenders.Answers answers = Lenders.Answers.NONE;
    private boolean allLendersAsked;
    private OptionalLong lateLenderSinceMillis = OptionalLong.empty();

    /** Returns the answers to the last question that has ended. */
    Lenders.Answers answers() {
        return answers;
    }

    /** Lenders are asked from now on, and may answer until the question has ended. */
    void asking() {
        allLendersAsked = false;
    }

    /** All lenders were asked and have answered, or their time is over. */
    void ended(Lenders.Answers received) {
        answers = received;
        allLendersAsked = true;
    }

    /** Returns when the wait, which is over now, ends instead; empty if no lender may still answer in time. */
    OptionalLong extend(long now) {
        if (!lenderMayAnswer() || now > latestEndMillis(now)) {
            return OptionalLong.empty();
        }
        if (lateLenderSinceMillis.isEmpty()) {
            lateLenderSinceMillis = OptionalLong.of(now);
            return OptionalLong.of(now + MIN_LATE_LENDER_WAIT_MILLIS);
        }
        return OptionalLong.of(now);
    }

    /** Returns when the wait ends, as a lender that answered late may soon have more tokens. */
    long extendForLatePromise(long now, long expiresMillis) {
        if (lateLenderSinceMillis.isEmpty()) {
            return expiresMillis;
        }
        return Math.max(expiresMillis, Math.min(now + MIN_LATE_LENDER_WAIT_MILLIS, latestEndMillis(now)));
    }

    /**
     * Returns whether lenders may be asked again. A request that may also be served by a lease asks nobody after its
     * wait is over. A late lender is not asked again and again, as it would lend for each question once it goes on.
     */
    boolean mayAskAgain(long now, long expiresMillis, boolean leasing) {
        if (lateLenderSinceMillis.isEmpty()) {
            return !leasing || now <= expiresMillis;
        }
        long soonMillis = lateLenderSinceMillis.getAsLong() + MIN_LATE_LENDER_WAIT_MILLIS;
        return now <= soonMillis || (now <= expiresMillis && !lenderMayAnswer());
    }

    private long latestEndMillis(long now) {
        return lateLenderSinceMillis.orElse(now) + MAX_LATE_LENDER_WAIT_MILLIS;
    }

    private boolean lenderMayAnswer() {
        return !allLendersAsked || answers.lateAnswerExpected().getAsBoolean();
    }
}
