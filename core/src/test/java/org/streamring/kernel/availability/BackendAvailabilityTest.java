package org.streamring.kernel.availability;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class BackendAvailabilityTest {
    private static final long DRAIN_MILLIS = 2_000;
    private static final BackendNotice LEAVES = new BackendNotice(true, 0);
    private static final int MANY = 5_000;
    private static final String LIFE = "i-1@7";

    private final List<String> events = new ArrayList<>();
    private BackendAvailability availability;

    @BeforeMethod
    public void setUp() {
        events.clear();
        availability = new BackendAvailability(() -> DRAIN_MILLIS, new Recorder());
    }

    @Test
    public void aServerThatSaidNothingTakesRequests() {
        assertThat(availability.takes(LIFE, 0)).isTrue();
        assertThat(availability.mayBeSent(LIFE, false, 0)).isTrue();
        assertThat(availability.takesAsLast(LIFE, 0)).isFalse();
    }

    @Test
    public void aServerThatLeavesTakesNothingEvenWhatWasPlacedBefore() {
        answers(LEAVES, 1_000);
        assertThat(availability.takes(LIFE, 1_000)).isFalse();
        assertThat(availability.mayBeSent(LIFE, false, 1_000)).isFalse();
    }

    @Test
    public void anAnswerWithoutTheWordDoesNotTakeItBack() {
        answers(LEAVES, 1_000);
        answers(BackendNotice.NONE, 1_100);
        assertThat(availability.takes(LIFE, 90_000)).isFalse();
    }

    @Test
    public void anotherIncarnationIsNotBound() {
        answers(LEAVES, 1_000);
        assertThat(availability.takes("i-1@8", 1_000)).isTrue();
    }

    @Test
    public void asTheLastOneItIsUsedForTheDrainTimeLessAMarginFromTheFirstWord() {
        answers(LEAVES, 1_000);
        answers(LEAVES, 2_400);
        long end = 1_000 + DRAIN_MILLIS - BackendAvailability.SENDING_MARGIN_MILLIS;
        assertThat(availability.takesAsLast(LIFE, end - 1)).isTrue();
        assertThat(availability.mayBeSent(LIFE, true, end - 1)).isTrue();
        assertThat(availability.takesAsLast(LIFE, end)).isFalse();
        assertThat(availability.mayBeSent(LIFE, true, end)).isFalse();
    }

    @Test
    public void aServerWhoseEntrySaysThatItLeavesIsNotUsedAsTheLastOne() {
        answers(LEAVES, 1_000);
        availability.leaving(LIFE, NoticeSource.ROW, 1_100);
        answers(LEAVES, 1_200);
        assertThat(availability.takesAsLast(LIFE, 1_200)).isFalse();
    }

    @Test
    public void aServerThatRestsIsSentNothingUntilTheLatestEnd() {
        rests(3_000, 0);
        rests(1_000, 500);
        assertThat(availability.restLeftMillis(LIFE, 500)).isEqualTo(2_500);
        assertThat(availability.takes(LIFE, 2_999)).isFalse();
        assertThat(availability.mayBeSent(LIFE, false, 2_999)).isFalse();
        assertThat(availability.takes(LIFE, 3_000)).isTrue();
    }

    @Test
    public void afterItsRestOneRequestTriesItUntilItAnswers() {
        rests(3_000, 0);
        availability.placed(LIFE, 3_000);
        assertThat(availability.takes(LIFE, 3_001)).isFalse();
        assertThat(availability.mayBeSent(LIFE, false, 3_001))
                .as("the one that tries")
                .isTrue();
        answers(BackendNotice.NONE, 3_200);
        assertThat(availability.takes(LIFE, 3_200)).isTrue();
    }

    @Test
    public void onceItHasAnsweredItGetsTwiceAsManyRequestsInEachStep() {
        rests(3_000, 0);
        availability.placed(LIFE, 3_000);
        answers(BackendNotice.NONE, 3_200);
        assertThat(placedAt(3_200)).isEqualTo(1);
        assertThat(placedAt(3_200 + BackendAvailability.DOUBLING_MILLIS)).isEqualTo(2);
        assertThat(placedAt(3_200 + 2 * BackendAvailability.DOUBLING_MILLIS)).isEqualTo(4);
        assertThat(placedAt(3_200 + 10 * BackendAvailability.DOUBLING_MILLIS)).isEqualTo(MANY);
    }

    private int placedAt(long nowMillis) {
        int placed = 0;
        while (placed < MANY && availability.takes(LIFE, nowMillis)) {
            availability.placed(LIFE, nowMillis);
            placed++;
        }
        return placed;
    }

    @Test
    public void aNextRestBeginsTheReturnAnew() {
        rests(3_000, 0);
        availability.placed(LIFE, 3_000);
        answers(BackendNotice.NONE, 3_100);
        rests(1_000, 3_200);
        availability.placed(LIFE, 4_200);
        assertThat(availability.takes(LIFE, 4_201)).isFalse();
    }

    @Test
    public void aTryThatIsNotAnsweredIsFollowedByAnother() {
        rests(3_000, 0);
        availability.placed(LIFE, 3_000);
        assertThat(availability.takes(LIFE, 3_000 + BackendAvailability.TRY_MILLIS))
                .isTrue();
    }

    @Test
    public void aRefusalWithoutARestIsNoProofThatItServes() {
        rests(3_000, 0);
        availability.placed(LIFE, 3_000);
        availability.answered(LIFE, true, BackendNotice.NONE, 3_100);
        assertThat(availability.takes(LIFE, 3_101)).isFalse();
    }

    @Test
    public void anAnswerToAnEarlierRequestDoesNotEndTheRest() {
        rests(3_000, 0);
        answers(BackendNotice.NONE, 1_000);
        assertThat(availability.takes(LIFE, 1_000)).isFalse();
        availability.placed(LIFE, 3_000);
        assertThat(availability.takes(LIFE, 3_001)).isFalse();
    }

    @Test
    public void whatIsBelievedIsToldOnceAtEachChange() {
        rests(3_000, 0);
        rests(3_000, 10);
        answers(BackendNotice.NONE, 4_000);
        answers(BackendNotice.NONE, 4_100);
        answers(LEAVES, 5_000);
        answers(LEAVES, 5_100);
        availability.leaving(LIFE, NoticeSource.ROW, 5_200);
        availability.leaving(LIFE, NoticeSource.ROW, 5_300);
        assertThat(events).containsExactly("rests 3000", "rested", "leaves ANSWER", "leaves ROW");
    }

    @Test
    public void aServerThatIsGoneIsForgottenAfterAWhileOnly() {
        answers(LEAVES, 1_000);
        availability.forgetGone(Set.of(LIFE), 900_000);
        assertThat(availability.isLeaving(LIFE)).isTrue();
        availability.forgetGone(Set.of(), 1_000 + BackendAvailability.KEEP_GONE_MILLIS);
        assertThat(availability.isLeaving(LIFE)).isTrue();
        availability.forgetGone(Set.of(), 1_001 + BackendAvailability.KEEP_GONE_MILLIS);
        assertThat(availability.isLeaving(LIFE)).isFalse();
    }

    @Test
    public void serversThatLeaveOrRestAreCounted() {
        answers(LEAVES, 1_000);
        availability.answered("i-2@1", true, new BackendNotice(false, 500), 1_000);
        assertThat(availability.leavingCount()).isEqualTo(1);
        assertThat(availability.restingCount(1_499)).isEqualTo(1);
        assertThat(availability.restingCount(1_500)).isZero();
    }

    private void answers(BackendNotice notice, long nowMillis) {
        availability.answered(LIFE, false, notice, nowMillis);
    }

    private void rests(long restMillis, long nowMillis) {
        availability.answered(LIFE, true, new BackendNotice(false, restMillis), nowMillis);
    }

    private final class Recorder implements AvailabilityEvents {
        @Override
        public void leaving(String incarnation, NoticeSource source) {
            events.add("leaves " + source);
        }

        @Override
        public void rests(String incarnation, long restMillis) {
            events.add("rests " + restMillis);
        }

        @Override
        public void rested(String incarnation) {
            events.add("rested");
        }
    }
}
