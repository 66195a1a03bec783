package org.streamring.kernel.permit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LimitedBackendsTest {
    private static final String INCARNATION = "i-1@1";

    private final List<String> events = new ArrayList<>();
    private final List<PermitAsk> asked = new ArrayList<>();
    private LimitedBackends limits;

    @BeforeMethod
    public void setUp() {
        events.clear();
        asked.clear();
        limits = new LimitedBackends(new Recorder(), asked::add);
    }

    @Test
    public void aServerWithoutALimitTakesAllRequests() {
        limits.answered(INCARNATION, LimitWord.NONE, 0, 10);
        assertThat(limits.mayBePlaced(INCARNATION, 10)).isTrue();
        assertThat(limits.millisUntilPlaceable(INCARNATION, 10)).isZero();
        assertThat(limits.mayBeSent(INCARNATION, Optional.empty(), 10)).isTrue();
    }

    @Test
    public void aRequestPlacedBeforeTheLimitWasAnnouncedIsNotSent() {
        Optional<Permit> none = limits.place(INCARNATION, 10);
        announce(1, 0, 20);
        assertThat(limits.mayBeSent(INCARNATION, none, 30)).isFalse();
    }

    @Test
    public void noRequestIsPlacedWithoutAPermitAndEachPermitIsUsedOnce() {
        announce(1, 0, 10);
        assertThat(limits.mayBePlaced(INCARNATION, 10)).isFalse();
        grant(1, 10, 15);
        assertThat(limits.mayBePlaced(INCARNATION, 15)).isTrue();
        assertThat(limits.mayBeSent(INCARNATION, limits.place(INCARNATION, 15), 16))
                .isTrue();
        assertThat(limits.mayBePlaced(INCARNATION, 16)).isFalse();
    }

    @Test
    public void onePermitRequestIsSentAtATimeAndNoneBeforeItIsDue() {
        announce(1, 0, 10);
        limits.wanted(INCARNATION, 10);
        limits.wanted(INCARNATION, 11);
        assertThat(asked).hasSize(1);
        limits.granted(INCARNATION, 10, PermitGrant.none(500), 20);
        limits.wanted(INCARNATION, 519);
        assertThat(asked).hasSize(1);
        assertThat(limits.millisUntilPlaceable(INCARNATION, 500)).isEqualTo(20);
        limits.wanted(INCARNATION, 520);
        assertThat(asked).hasSize(2);
    }

    @Test
    public void permitsExpire() {
        announce(1, 0, 10);
        grant(2, 10, 20);
        Optional<Permit> placed = limits.place(INCARNATION, 20);
        assertThat(limits.mayBePlaced(INCARNATION, 10 + LimitedBackends.PERMIT_EXPIRY_MILLIS + 1))
                .isFalse();
        assertThat(limits.mayBeSent(INCARNATION, placed, 10 + LimitedBackends.SENDING_EXPIRY_MILLIS))
                .isTrue();
        assertThat(limits.mayBeSent(INCARNATION, placed, 11 + LimitedBackends.SENDING_EXPIRY_MILLIS))
                .isFalse();
    }

    @Test
    public void permitsRequestedUnderALargerLimitAreInvalid() {
        announce(9, 0, 10);
        grant(2, 10, 20);
        Optional<Permit> placed = limits.place(INCARNATION, 20);
        announce(1, 0, 30);
        assertThat(limits.mayBePlaced(INCARNATION, 30)).isFalse();
        assertThat(limits.mayBeSent(INCARNATION, placed, 30)).isFalse();
    }

    @Test
    public void thePermitOfARequestThatWasNotSentServesAnother() {
        announce(1, 0, 10);
        grant(1, 10, 20);
        limits.place(INCARNATION, 20).ifPresent(limits::notSent);
        assertThat(limits.mayBePlaced(INCARNATION, 30)).isTrue();
    }

    @Test
    public void onlyAnAnswerToALaterRequestEndsALimit() {
        announce(1, 0, 10);
        limits.answered(INCARNATION, LimitWord.NONE, 9, 20);
        limits.answered(INCARNATION, LimitWord.NONE, 10, 21);
        assertThat(limits.isLimited(INCARNATION)).isTrue();
        limits.answered(INCARNATION, LimitWord.NONE, 11, 22);
        assertThat(limits.isLimited(INCARNATION)).isFalse();
        assertThat(events).containsExactly("limited 1.0", "unlimited 11");
    }

    @Test
    public void aSmallerLimitAppliesAtOnceAndALargerOneAfterALaterRequest() {
        announce(3, 5, 10);
        announce(2, 4, 11);
        announce(9, 10, 12);
        assertThat(limits.update(INCARNATION, 12).orElseThrow().perSecond()).isEqualTo(2);
        announce(9, 12, 13);
        assertThat(limits.update(INCARNATION, 13).orElseThrow().perSecond()).isEqualTo(9);
        assertThat(events).containsExactly("limited 3.0", "limited 2.0", "limited 9.0");
    }

    @Test
    public void anUnreadableLimitChangesNothingAndOnlyTheFirstIsMarkedAsFirst() {
        announce(1, 0, 10);
        limits.answered(INCARNATION, LimitWord.UNREADABLE, 11, 20);
        limits.answered(INCARNATION, LimitWord.UNREADABLE, 12, 21);
        assertThat(limits.isLimited(INCARNATION)).isTrue();
        assertThat(events).containsExactly("limited 1.0", "unreadable true", "unreadable false");
    }

    @Test
    public void aLimitAboveAnyLoadIsIgnored() {
        announce(1e9, 0, 10);
        assertThat(limits.isLimited(INCARNATION)).isFalse();
    }

    @Test
    public void aRestartedServerStartsWithoutALimit() {
        announce(1, 0, 10);
        assertThat(limits.mayBePlaced("i-1@2", 10)).isTrue();
    }

    @Test
    public void aServerWithAPermitIsDueAfterALongTimeWithoutRequests() {
        announce(1, 0, 10_000);
        grant(1, 10_000, 10_000);
        assertThat(limits.isDue(INCARNATION, 10_000)).isTrue();
        limits.place(INCARNATION, 10_000);
        grant(1, 10_100, 10_100);
        assertThat(limits.isDue(INCARNATION, 10_100)).isFalse();
    }

    @Test
    public void aServerThatIsNoLongerListedIsRemovedAfterTheRetentionPeriod() {
        announce(1, 0, 10);
        limits.forgetGone(Set.of(), 60_010);
        assertThat(limits.count()).isEqualTo(1);
        limits.forgetGone(Set.of(), 60_011);
        assertThat(limits.count()).isZero();
    }

    @Test
    public void noMorePermitsAreAcceptedThanCanBeRequested() {
        announce(1, 0, 10);
        grant(Integer.MAX_VALUE, 10, 20);
        int placed = 0;
        while (limits.mayBePlaced(INCARNATION, 20)) {
            limits.place(INCARNATION, 20);
            placed++;
        }
        assertThat(placed).isEqualTo(64);
    }

    private void grant(int count, long askedMillis, long nowMillis) {
        limits.wanted(INCARNATION, askedMillis);
        limits.granted(INCARNATION, askedMillis, new PermitGrant(count, 0), nowMillis);
    }

    private void announce(double perSecond, long sentMillis, long nowMillis) {
        limits.answered(INCARNATION, LimitWord.named(perSecond), sentMillis, nowMillis);
    }

    private final class Recorder implements LimitEvents {
        @Override
        public void limited(String incarnation, double perSecond, String byEntry) {
            events.add("limited " + perSecond + byEntry);
        }

        @Override
        public void unlimited(String incarnation, long sentAgeMillis) {
            events.add("unlimited " + sentAgeMillis);
        }

        @Override
        public void unreadable(String incarnation, boolean first) {
            events.add("unreadable " + first);
        }
    }
}
