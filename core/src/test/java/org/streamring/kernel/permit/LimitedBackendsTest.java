package org.streamring.kernel.permit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LimitedBackendsTest {
    private static final String LIFE = "i-1@1";

    private final List<String> told = new ArrayList<>();
    private final List<PermitAsk> asked = new ArrayList<>();
    private LimitedBackends limits;

    @BeforeMethod
    public void setUp() {
        told.clear();
        asked.clear();
        limits = new LimitedBackends(new Recorder(), asked::add);
    }

    @Test
    public void aServerThatNamesNoLimitTakesAll() {
        limits.answered(LIFE, LimitWord.NONE, 0, 10);
        assertThat(limits.takes(LIFE, 10)).isTrue();
        assertThat(limits.turnMillis(LIFE, 10)).isZero();
        assertThat(limits.mayBeSent(LIFE, Optional.empty(), 10)).isTrue();
    }

    @Test
    public void aRequestThatWasPlacedBeforeTheWordIsNotSent() {
        Optional<Permit> none = limits.place(LIFE, 10);
        name(1, 0, 20);
        assertThat(limits.mayBeSent(LIFE, none, 30)).isFalse();
    }

    @Test
    public void nothingIsPlacedWithoutAPermitAndEachPermitServesOnce() {
        name(1, 0, 10);
        assertThat(limits.takes(LIFE, 10)).isFalse();
        grant(1, 10, 15);
        assertThat(limits.takes(LIFE, 15)).isTrue();
        assertThat(limits.mayBeSent(LIFE, limits.place(LIFE, 15), 16)).isTrue();
        assertThat(limits.takes(LIFE, 16)).isFalse();
    }

    @Test
    public void oneQuestionIsAskedAtATimeAndNoneBeforeItsTurn() {
        name(1, 0, 10);
        limits.wanted(LIFE, 10);
        limits.wanted(LIFE, 11);
        assertThat(asked).hasSize(1);
        limits.granted(LIFE, 10, PermitGrant.none(500), 20);
        limits.wanted(LIFE, 519);
        assertThat(asked).hasSize(1);
        assertThat(limits.turnMillis(LIFE, 500)).isEqualTo(20);
        limits.wanted(LIFE, 520);
        assertThat(asked).hasSize(2);
    }

    @Test
    public void permitsAreVoidAfterTheirTime() {
        name(1, 0, 10);
        grant(2, 10, 20);
        Optional<Permit> placed = limits.place(LIFE, 20);
        assertThat(limits.takes(LIFE, 10 + LimitedBackends.USE_MILLIS + 1)).isFalse();
        assertThat(limits.mayBeSent(LIFE, placed, 10 + LimitedBackends.SEND_MILLIS))
                .isTrue();
        assertThat(limits.mayBeSent(LIFE, placed, 11 + LimitedBackends.SEND_MILLIS))
                .isFalse();
    }

    @Test
    public void permitsOfALargerLimitAreVoid() {
        name(9, 0, 10);
        grant(2, 10, 20);
        Optional<Permit> placed = limits.place(LIFE, 20);
        name(1, 0, 30);
        assertThat(limits.takes(LIFE, 30)).isFalse();
        assertThat(limits.mayBeSent(LIFE, placed, 30)).isFalse();
    }

    @Test
    public void thePermitOfARequestThatWasNotSentServesAnother() {
        name(1, 0, 10);
        grant(1, 10, 20);
        limits.place(LIFE, 20).ifPresent(limits::notSent);
        assertThat(limits.takes(LIFE, 30)).isTrue();
    }

    @Test
    public void onlyAnAnswerToALaterRequestEndsALimit() {
        name(1, 0, 10);
        limits.answered(LIFE, LimitWord.NONE, 9, 20);
        limits.answered(LIFE, LimitWord.NONE, 10, 21);
        assertThat(limits.isLimited(LIFE)).isTrue();
        limits.answered(LIFE, LimitWord.NONE, 11, 22);
        assertThat(limits.isLimited(LIFE)).isFalse();
        assertThat(told).containsExactly("limited 1.0", "unlimited 11");
    }

    @Test
    public void aSmallerNumberCountsAtOnceAndALargerOneByALaterRequest() {
        name(3, 5, 10);
        name(2, 4, 11);
        name(9, 10, 12);
        assertThat(limits.news(LIFE, 12).orElseThrow().perSecond()).isEqualTo(2);
        name(9, 12, 13);
        assertThat(limits.news(LIFE, 13).orElseThrow().perSecond()).isEqualTo(9);
        assertThat(told).containsExactly("limited 3.0", "limited 2.0", "limited 9.0");
    }

    @Test
    public void anUnreadableWordChangesNothingAndIsToldOnce() {
        name(1, 0, 10);
        limits.answered(LIFE, LimitWord.UNREADABLE, 11, 20);
        limits.answered(LIFE, LimitWord.UNREADABLE, 12, 21);
        assertThat(limits.isLimited(LIFE)).isTrue();
        assertThat(told).containsExactly("limited 1.0", "unreadable true", "unreadable false");
    }

    @Test
    public void aLimitBeyondAnyLoadIsNone() {
        name(1e9, 0, 10);
        assertThat(limits.isLimited(LIFE)).isFalse();
    }

    @Test
    public void aServerThatIsBackUnderItsIdentifierStartsWithoutALimit() {
        name(1, 0, 10);
        assertThat(limits.takes("i-1@2", 10)).isTrue();
    }

    @Test
    public void aServerWithAPermitThatGotNothingForLongIsDue() {
        name(1, 0, 10_000);
        grant(1, 10_000, 10_000);
        assertThat(limits.isDue(LIFE, 10_000)).isTrue();
        limits.place(LIFE, 10_000);
        grant(1, 10_100, 10_100);
        assertThat(limits.isDue(LIFE, 10_100)).isFalse();
    }

    @Test
    public void whatIsGoneIsForgottenAfterAWhile() {
        name(1, 0, 10);
        limits.forgetGone(Set.of(), 60_010);
        assertThat(limits.count()).isEqualTo(1);
        limits.forgetGone(Set.of(), 60_011);
        assertThat(limits.count()).isZero();
    }

    @Test
    public void noMorePermitsAreTakenThanCanBeWanted() {
        name(1, 0, 10);
        grant(Integer.MAX_VALUE, 10, 20);
        int placed = 0;
        while (limits.takes(LIFE, 20)) {
            limits.place(LIFE, 20);
            placed++;
        }
        assertThat(placed).isEqualTo(64);
    }

    private void grant(int count, long askedMillis, long nowMillis) {
        limits.wanted(LIFE, askedMillis);
        limits.granted(LIFE, askedMillis, new PermitGrant(count, 0), nowMillis);
    }

    private void name(double perSecond, long sentMillis, long nowMillis) {
        limits.answered(LIFE, LimitWord.named(perSecond), sentMillis, nowMillis);
    }

    private final class Recorder implements LimitEvents {
        @Override
        public void limited(String incarnation, double perSecond, String byEntry) {
            told.add("limited " + perSecond + byEntry);
        }

        @Override
        public void unlimited(String incarnation, long sentAgeMillis) {
            told.add("unlimited " + sentAgeMillis);
        }

        @Override
        public void unreadable(String incarnation, boolean first) {
            told.add("unreadable " + first);
        }
    }
}
