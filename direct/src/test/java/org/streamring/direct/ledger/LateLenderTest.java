package org.streamring.direct.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.streamring.direct.request.TokenSource.Outcome;
import org.testng.annotations.Test;

/** Tests requests whose lenders answer late, in simulated time. */
public class LateLenderTest extends SimulatedAllocator {
    private static final long ASK_AGAIN_MILLIS = 30;

    /** A lender answered late with 1,570 of 76,700 tokens, and the request was refused 2 ms later. */
    @Test
    public void aLenderThatLendsAPartLateAndPromisesMoreIsAskedAgain() {
        List<Outcome> outcomes = askLender(OptionalLong.of(2 * LENDER_PAUSE_MILLIS), LARGE / 4);
        lenders.moreSoon = true;
        advance(2 * LENDER_PAUSE_MILLIS);
        assertThat(outcomes).isEmpty();
        lenders.paused = false;
        lenders.tokens = LARGE;
        advance(ASK_AGAIN_MILLIS);
        assertThat(outcomes).containsExactly(Outcome.RESERVED);
    }

    @Test
    public void aLenderThatOnlyPromisesDoesNotKeepARequestWaiting() {
        List<Outcome> outcomes = askLender(OptionalLong.of(2 * LENDER_PAUSE_MILLIS), 0);
        lenders.moreSoon = true;
        advance(2 * LENDER_PAUSE_MILLIS);
        lenders.paused = false;
        advance(REFUSAL_WITHOUT_LENDER_MILLIS);
        assertThat(outcomes).containsExactly(Outcome.UNAVAILABLE);
    }
}
