package org.streamring.kernel.availability;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class BackendAvailabilityTest {
    private static final long DRAIN_MILLIS = 2_000;
    private static final BackendNotice SHUTTING_DOWN = new BackendNotice(true, 0);
    private static final int MAX_PLACED = 5_000;
    private static final String INCARNATION = "i-1@7";
    private static final String RESTARTED = "i-1@8";

    private final List<String> events = new ArrayList<>();
    private BackendAvailability availability;

    @BeforeMethod
    public void setUp() {
        events.clear();
        availability = new BackendAvailability(() -> DRAIN_MILLIS, new Recorder());
    }

    @Test
    public void aServerWithoutNoticesTakesRequests() {
        assertThat(availability.isAvailable(INCARNATION, 0)).isTrue();
        assertThat(availability.mayBeSent(INCARNATION, false, 0)).isTrue();
        assertThat(availability.isAvailableAsLastResort(INCARNATION, 0)).isFalse();
    }

    @Test
    public void aServerThatIsShuttingDownIsSentNoRequestEvenIfItWasPlacedBefore() {
        receiveAnswer(SHUTTING_DOWN, 1_000);
        assertThat(availability.isAvailable(INCARNATION, 1_000)).isFalse();
        assertThat(availability.mayBeSent(INCARNATION, false, 1_000)).isFalse();
    }

    @Test
    public void anAnswerWithoutAShutdownNoticeDoesNotCancelAnEarlierOne() {
        receiveAnswer(SHUTTING_DOWN, 1_000);
        receiveAnswer(BackendNotice.NONE, 1_100);
        assertThat(availability.isAvailable(INCARNATION, 90_000)).isFalse();
    }

    @Test
    public void aShutdownNoticeDoesNotApplyToAnotherIncarnation() {
        receiveAnswer(SHUTTING_DOWN, 1_000);
        assertThat(availability.isAvailable("i-1@8", 1_000)).isTrue();
    }

    @Test
    public void theLastAvailableServerIsUsedForTheDrainTimeLessAMarginFromItsFirstShutdownNotice() {
        receiveAnswer(SHUTTING_DOWN, 1_000);
        receiveAnswer(SHUTTING_DOWN, 2_400);
        long end = 1_000 + DRAIN_MILLIS - BackendAvailability.SENDING_MARGIN_MILLIS;
        assertThat(availability.isAvailableAsLastResort(INCARNATION, end - 1)).isTrue();
        assertThat(availability.mayBeSent(INCARNATION, true, end - 1)).isTrue();
        assertThat(availability.isAvailableAsLastResort(INCARNATION, end)).isFalse();
        assertThat(availability.mayBeSent(INCARNATION, true, end)).isFalse();
    }

    @Test
    public void aServerWhoseRowReportsItsShutdownIsNotUsedAsTheLastOne() {
        receiveAnswer(SHUTTING_DOWN, 1_000);
        availability.leaving(INCARNATION, NoticeSource.ROW, 1_100);
        receiveAnswer(SHUTTING_DOWN, 1_200);
        assertThat(availability.isAvailableAsLastResort(INCARNATION, 1_200)).isFalse();
    }

    @Test
    public void aServerThatBacksOffIsSentNothingUntilItsLastBackOffEnds() {
        receiveBackOff(3_000, 0);
        receiveBackOff(1_000, 500);
        assertThat(availability.remainingBackOffMillis(INCARNATION, 500)).isEqualTo(2_500);
        assertThat(availability.isAvailable(INCARNATION, 2_999)).isFalse();
        assertThat(availability.mayBeSent(INCARNATION, false, 2_999)).isFalse();
        assertThat(availability.isAvailable(INCARNATION, 3_000)).isTrue();
    }

    @Test
    public void afterABackOffOneRequestIsSentUntilTheServerAnswers() {
        receiveBackOff(3_000, 0);
        availability.placed(INCARNATION, 3_000);
        assertThat(availability.isAvailable(INCARNATION, 3_001)).isFalse();
        assertThat(availability.mayBeSent(INCARNATION, false, 3_001))
                .as("the probe request")
                .isTrue();
        receiveAnswer(BackendNotice.NONE, 3_200);
        assertThat(availability.isAvailable(INCARNATION, 3_200)).isTrue();
    }

    @Test
    public void theNumberOfRequestsDoublesInEachIntervalAfterTheFirstAnswer() {
        receiveBackOff(3_000, 0);
        availability.placed(INCARNATION, 3_000);
        receiveAnswer(BackendNotice.NONE, 3_200);
        assertThat(placeUntilFull(3_200)).isEqualTo(1);
        assertThat(placeUntilFull(3_200 + BackendAvailability.DOUBLING_MILLIS)).isEqualTo(2);
        assertThat(placeUntilFull(3_200 + 2 * BackendAvailability.DOUBLING_MILLIS))
                .isEqualTo(4);
        assertThat(placeUntilFull(3_200 + 10 * BackendAvailability.DOUBLING_MILLIS))
                .isEqualTo(MAX_PLACED);
    }

    private int placeUntilFull(long nowMillis) {
        int placed = 0;
        while (placed < MAX_PLACED && availability.isAvailable(INCARNATION, nowMillis)) {
            availability.placed(INCARNATION, nowMillis);
            placed++;
        }
        return placed;
    }

    @Test
    public void anotherBackOffRestartsTheRampUp() {
        receiveBackOff(3_000, 0);
        availability.placed(INCARNATION, 3_000);
        receiveAnswer(BackendNotice.NONE, 3_100);
        receiveBackOff(1_000, 3_200);
        availability.placed(INCARNATION, 4_200);
        assertThat(availability.isAvailable(INCARNATION, 4_201)).isFalse();
    }

    @Test
    public void aProbeWithoutAnAnswerIsFollowedByAnotherOne() {
        receiveBackOff(3_000, 0);
        availability.placed(INCARNATION, 3_000);
        assertThat(availability.isAvailable(INCARNATION, 3_000 + BackendAvailability.PROBE_INTERVAL_MILLIS))
                .isTrue();
    }

    @Test
    public void aProbeThatWasNotSentIsFollowedByAnotherOneAtOnce() {
        receiveBackOff(3_000, 0);
        availability.placed(INCARNATION, 3_000);
        availability.notSent(INCARNATION, 3_000);
        assertThat(availability.isAvailable(INCARNATION, 3_001)).isTrue();
        availability.placed(INCARNATION, 3_001);
        assertThat(availability.isAvailable(INCARNATION, 3_002)).isFalse();
    }

    @Test
    public void aRequestThatWasNotSentDoesNotCountWhileTheLoadGrows() {
        receiveBackOff(3_000, 0);
        availability.placed(INCARNATION, 3_000);
        receiveAnswer(BackendNotice.NONE, 3_200);
        assertThat(placeUntilFull(3_200)).isEqualTo(1);
        availability.notSent(INCARNATION, 3_200);
        assertThat(placeUntilFull(3_200)).isEqualTo(1);
    }

    @Test
    public void aRequestOfBeforeABackOffThatWasNotSentDoesNotMakeRoomAfterIt() {
        receiveBackOff(3_000, 0);
        availability.placed(INCARNATION, 3_000);
        receiveBackOff(1_000, 3_000);
        availability.placed(INCARNATION, 4_000);
        availability.notSent(INCARNATION, 3_000);
        assertThat(availability.isAvailable(INCARNATION, 4_001)).isFalse();
        receiveAnswer(BackendNotice.NONE, 4_200);
        assertThat(placeUntilFull(4_200)).isEqualTo(1);
    }

    @Test
    public void aRejectionWithoutABackOffDoesNotStartTheRampUp() {
        receiveBackOff(3_000, 0);
        availability.placed(INCARNATION, 3_000);
        availability.answered(INCARNATION, true, BackendNotice.NONE, 3_100);
        assertThat(availability.isAvailable(INCARNATION, 3_101)).isFalse();
    }

    @Test
    public void anAnswerToAnEarlierRequestDoesNotEndTheBackOff() {
        receiveBackOff(3_000, 0);
        receiveAnswer(BackendNotice.NONE, 1_000);
        assertThat(availability.isAvailable(INCARNATION, 1_000)).isFalse();
        availability.placed(INCARNATION, 3_000);
        assertThat(availability.isAvailable(INCARNATION, 3_001)).isFalse();
    }

    @Test
    public void eachChangeIsReportedOnce() {
        receiveBackOff(3_000, 0);
        receiveBackOff(3_000, 10);
        receiveAnswer(BackendNotice.NONE, 4_000);
        receiveAnswer(BackendNotice.NONE, 4_100);
        receiveAnswer(SHUTTING_DOWN, 5_000);
        receiveAnswer(SHUTTING_DOWN, 5_100);
        availability.leaving(INCARNATION, NoticeSource.ROW, 5_200);
        availability.leaving(INCARNATION, NoticeSource.ROW, 5_300);
        assertThat(events).containsExactly("rests 3000", "rested", "leaves ANSWER", "leaves ROW");
    }

    @Test
    public void aBackOffRequestedBeforeTheRowOfANewProcessIsListedAppliesToTheNewProcess() {
        list(INCARNATION, 0);
        receiveBackOff(1_500, 1_000);
        list(RESTARTED, 1_200);
        assertThat(availability.remainingBackOffMillis(RESTARTED, 1_200)).isEqualTo(1_300);
        assertThat(availability.isAvailable(RESTARTED, 2_499)).isFalse();
        assertThat(availability.mayBeSent(RESTARTED, false, 2_499)).isFalse();
        assertThat(availability.isAvailable(RESTARTED, 2_500)).isTrue();
    }

    @Test
    public void aBackOffInAnAnswerToARequestPlacedAtTheProcessBeforeAppliesToTheNewProcess() {
        list(INCARNATION, 0);
        list(RESTARTED, 1_000);
        receiveBackOff(1_500, 1_100);
        assertThat(availability.remainingBackOffMillis(RESTARTED, 1_100)).isEqualTo(1_500);
    }

    @Test
    public void aBackOffThatANewProcessCannotHaveRequestedDoesNotApplyToIt() {
        list(INCARNATION, 0);
        receiveBackOff(600_000, 1_000);
        list(RESTARTED, 1_001 + BackendAvailability.MAX_ROW_DELAY_MILLIS);
        assertThat(availability.isAvailable(RESTARTED, 1_001 + BackendAvailability.MAX_ROW_DELAY_MILLIS))
                .isTrue();
    }

    @Test
    public void aBackOffDoesNotApplyToAProcessAtAnotherAddress() {
        list(INCARNATION, 0);
        receiveBackOff(1_500, 1_000);
        availability.listed("i-1", "10.0.0.2", 8_080, RESTARTED, 1_200);
        assertThat(availability.isAvailable(RESTARTED, 1_200)).isTrue();
    }

    private void list(String incarnation, long nowMillis) {
        availability.listed("i-1", "10.0.0.1", 8_080, incarnation, nowMillis);
    }

    @Test
    public void aServerThatIsNoLongerListedIsRemovedAfterTheRetentionPeriod() {
        receiveAnswer(SHUTTING_DOWN, 1_000);
        availability.forgetGone(Set.of(INCARNATION), 900_000);
        assertThat(availability.isShuttingDown(INCARNATION)).isTrue();
        availability.forgetGone(Set.of(), 1_000 + BackendAvailability.RETENTION_MILLIS);
        assertThat(availability.isShuttingDown(INCARNATION)).isTrue();
        availability.forgetGone(Set.of(), 1_001 + BackendAvailability.RETENTION_MILLIS);
        assertThat(availability.isShuttingDown(INCARNATION)).isFalse();
    }

    @Test
    public void serversThatAreShuttingDownOrBackingOffAreCounted() {
        receiveAnswer(SHUTTING_DOWN, 1_000);
        availability.answered("i-2@1", true, new BackendNotice(false, 500), 1_000);
        assertThat(availability.shuttingDownCount()).isEqualTo(1);
        assertThat(availability.backingOffCount(1_499)).isEqualTo(1);
        assertThat(availability.backingOffCount(1_500)).isZero();
    }

    private void receiveAnswer(BackendNotice notice, long nowMillis) {
        availability.answered(INCARNATION, false, notice, nowMillis);
    }

    private void receiveBackOff(long backOffMillis, long nowMillis) {
        availability.answered(INCARNATION, true, new BackendNotice(false, backOffMillis), nowMillis);
    }

    private final class Recorder implements AvailabilityEvents {
        @Override
        public void leaving(String incarnation, NoticeSource source) {
            events.add("leaves " + source);
        }

        @Override
        public void backOffStarted(String incarnation, long backOffMillis) {
            events.add("rests " + backOffMillis);
        }

        @Override
        public void backOffEnded(String incarnation) {
            events.add("rested");
        }
    }
}
