package org.streamring.direct.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.streamring.direct.request.TokenSource.Outcome;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests requests whose lenders answer late, in simulated time. */
public class LateLenderTest extends SimulatedAllocator {
    private static final long ASK_AGAIN_MILLIS = 30;
    /** The second question begins before the end of the wait, and its answer comes after it. */
    private static final long OPEN_AT_THE_END_MILLIS = 35;
    /** Wait for an open question, one more question that begins within it, and the check interval that ends them. */
    private static final long OPEN_QUESTION_MILLIS = 200 + TestLenders.ANSWER_MILLIS + 2 * EXPIRY_CHECK_INTERVAL_MILLIS;

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

    /** A home entry was refused tokens at the end of its wait, while the second question to its lender was open. */
    @Test
    public void aHomeEntryWaitsForTheAnswerToAQuestionThatIsOpenAtTheEndOfItsWait() {
        List<Outcome> outcomes = borrowFromALenderThatPromises(OPEN_AT_THE_END_MILLIS);
        advance(REFUSAL_WITHOUT_LENDER_MILLIS);
        lenders.tokens = LARGE;
        advance(OPEN_QUESTION_MILLIS);
        assertThat(outcomes).containsExactly(Outcome.RESERVED);
    }

    @DataProvider
    public static Object[] answerMillis() {
        return new Object[] {1L, 10L, OPEN_AT_THE_END_MILLIS, 50L};
    }

    @Test(dataProvider = "answerMillis")
    public void aHomeEntryRefusesInTimeWhileALenderOnlyPromises(long answerMillis) {
        List<Outcome> outcomes = borrowFromALenderThatPromises(answerMillis);
        advance(REFUSAL_WITHOUT_LENDER_MILLIS + OPEN_QUESTION_MILLIS);
        assertThat(outcomes).containsExactly(Outcome.UNAVAILABLE);
    }

    private List<Outcome> borrowFromALenderThatPromises(long answerMillis) {
        startEntry(true);
        rows.answers = false;
        lenders.connected = true;
        lenders.tokens = 0;
        lenders.moreSoon = true;
        lenders.answerMillis = answerMillis;
        return reserveLarge();
    }
}
