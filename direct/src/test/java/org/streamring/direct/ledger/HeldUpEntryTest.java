package org.streamring.direct.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.streamring.direct.request.TokenSource.Outcome;
import org.testng.annotations.Test;

/** Tests an entry whose event loop does not run for a moment, in simulated time. */
public class HeldUpEntryTest extends SimulatedAllocator {
    /** Longer than a request waits for a late lender. */
    private static final long HELD_UP_MILLIS = 1_600;

    @Test
    public void aRequestIsServedByALoanThatArrivedWhileTheEntryWasHeldUp() {
        List<Outcome> outcomes = askLender(OptionalLong.empty(), LARGE);
        advance(REFUSAL_WITHOUT_LENDER_MILLIS);
        holdUp(HELD_UP_MILLIS);
        assertThat(outcomes).isEmpty();
        lenders.unread.run();
        assertThat(outcomes).containsExactly(Outcome.RESERVED);
    }

    @Test
    public void aRequestIsRefusedOnceTheEntryHasReadThatNothingArrived() {
        List<Outcome> outcomes = askLender(OptionalLong.empty(), LARGE);
        advance(REFUSAL_WITHOUT_LENDER_MILLIS);
        holdUp(HELD_UP_MILLIS);
        advance(1);
        assertThat(outcomes).containsExactly(Outcome.UNAVAILABLE);
    }
}
