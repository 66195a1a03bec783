package org.streamring.kernel.permit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class PermitIssuerTest {
    private static final String INCARNATION = "i-1@1";
    private static final int MAX_LATE_MILLIS = 50;

    private PermitIssuer issuer;

    @BeforeMethod
    public void setUp() {
        issuer = new PermitIssuer();
    }

    @DataProvider
    public static Object[] limits() {
        return new Object[] {0.3, 1.0, 1.2, 8.0, 40.0, 900.0};
    }

    @Test(dataProvider = "limits")
    public void anyFourSecondsHoldAtMostOneBatchMoreThanTheLimitAllows(double perSecond) {
        PermitIssuer fresh = new PermitIssuer();
        int[] issued = new int[20_000];
        for (int now = 0; now < issued.length; now += 7) {
            issued[now] = fresh.answer(ask(perSecond, 0, 0, 64), 1, now).count();
        }
        double batch = Math.max(1, perSecond * PermitIssuer.BATCH_MILLIS / 1_000);
        int inWindow = 0;
        for (int now = 0; now < issued.length; now++) {
            inWindow += issued[now] - (now >= 4_000 ? issued[now - 4_000] : 0);
            assertThat((double) inWindow).isLessThanOrEqualTo(4 * perSecond + batch);
        }
        assertThat(inWindow).as("most of the limit is issued").isGreaterThanOrEqualTo((int) (3.5 * perSecond));
    }

    @Test
    public void aServerWithALimitOfZeroReceivesPermitsAtTheMinimumRate() {
        int issued = 0;
        for (int now = 0; now < 100_000; now += 50) {
            issued += issuer.answer(ask(0, 0, 0, 1), 1, now).count();
        }
        assertThat(issued).isBetween(20, 25);
    }

    @Test
    public void waitingEntriesAreAssignedSuccessiveTimes() {
        assertThat(issuer.answer(ask(1, 0, 0, 1), 1, 0)).isEqualTo(PermitGrant.none(1_000));
        assertThat(issuer.answer(ask(1, 0, 0, 1), 1, 0)).isEqualTo(PermitGrant.none(2_000));
        assertThat(issuer.answer(ask(1, 0, 0, 1), 1, 1_000)).isEqualTo(new PermitGrant(1, 0));
    }

    /** Guards against turns that nobody uses, because the entry that came for one was put behind all others. */
    @Test
    public void anEntryUsesItsTurnAlthoughTheOneBeforeItCameLate() {
        issuer.answer(ask(1, 0, 0, 1), 1, 0);
        issuer.answer(ask(1, 0, 0, 1), 1, 0);
        assertThat(issuer.answer(ask(1, 0, 0, 1), 1, 1_020)).isEqualTo(new PermitGrant(1, 0));
        assertThat(issuer.answer(ask(1, 0, 0, 1), 1, 1_050)).isEqualTo(PermitGrant.none(1_970));
        assertThat(issuer.answer(ask(1, 0, 0, 1), 1, 2_000)).isEqualTo(PermitGrant.none(20));
        assertThat(issuer.answer(ask(1, 0, 0, 1), 1, 2_020)).isEqualTo(new PermitGrant(1, 0));
    }

    @Test
    public void entriesThatComeLateByTurnsUseMostOfTheLimit() {
        long[] nextAskMillis = {0, 0, 0};
        int issued = 0;
        Random random = new Random(1);
        for (int now = 0; now < 60_000; now++) {
            for (int entry = 0; entry < nextAskMillis.length; entry++) {
                if (now >= nextAskMillis[entry]) {
                    PermitGrant grant = issuer.answer(ask(1, 0, 0, 1), 1, now);
                    issued += grant.count();
                    nextAskMillis[entry] = now + grant.waitMillis() + random.nextInt(MAX_LATE_MILLIS);
                }
            }
        }
        assertThat(issued).isBetween(54, 60);
    }

    @Test
    public void turnsAreAssignedAnewOnceTheShareRises() {
        assertThat(issuer.answer(ask(1, 0, 0, 1), 0.25, 0)).isEqualTo(PermitGrant.none(1_000));
        assertThat(issuer.answer(ask(1, 0, 0, 1), 0.25, 0)).isEqualTo(PermitGrant.none(5_000));
        assertThat(issuer.answer(ask(1, 0, 0, 1), 0.25, 1_000)).isEqualTo(new PermitGrant(1, 0));
        assertThat(issuer.answer(ask(1, 0, 0, 1), 1, 2_000)).isEqualTo(PermitGrant.none(1_000));
        assertThat(issuer.answer(ask(1, 0, 0, 1), 1, 2_000)).isEqualTo(PermitGrant.none(2_000));
        assertThat(issuer.answer(ask(1, 0, 0, 1), 1, 3_000)).isEqualTo(new PermitGrant(1, 0));
    }

    @Test
    public void aSmallerLimitAppliesAtOnce() {
        issuer.answer(ask(8, 0, 0, 1), 1, 0);
        PermitGrant grant = issuer.answer(ask(0.5, 0, 0, 1), 1, 200);
        assertThat(grant).isEqualTo(PermitGrant.none(2_000));
    }

    @Test
    public void afterTheEndOfALimitTheRateGrowsWithEachConfirmingAnswer() {
        issuer.answer(ask(0.05, 0, 0, 1), 1, 0);
        issuer.apply(new LimitNews(INCARNATION, AnnouncedLimit.UNLIMITED, 50, 0), 1_000);
        assertThat(issuer.isInForce(INCARNATION)).isFalse();
        assertThat(issuer.answer(ask(0.05, 1_000, 1_000, 1), 1, 1_000).count())
                .as("the first permit after the end of the limit")
                .isEqualTo(1);
        assertThat(issuer.answer(ask(0.05, 1_100, 1_100, 1), 1, 1_100).count()).isZero();
        for (int now = 1_200; now < 3_000; now += 100) {
            issuer.apply(new LimitNews(INCARNATION, AnnouncedLimit.UNLIMITED, 50, 0), now);
        }
        assertThat(issuer.answer(ask(0.05, 3_000, 3_000, 1), 1, 3_000).count()).isEqualTo(1);
        assertThat(issuer.answer(ask(0.05, 3_010, 3_010, 1), 1, 3_010).count()).isEqualTo(1);
    }

    @Test
    public void aLimitReceivedAfterTheEndIsInForceAgain() {
        issuer.answer(ask(1, 0, 0, 1), 1, 0);
        issuer.apply(new LimitNews(INCARNATION, AnnouncedLimit.UNLIMITED, 10, 0), 1_000);
        issuer.answer(ask(1, 200, 5, 1), 1, 1_100);
        assertThat(issuer.isInForce(INCARNATION)).isTrue();
    }

    private static PermitAsk ask(double perSecond, long sentAgeMillis, long receivedAgeMillis, int wanted) {
        return new PermitAsk(new LimitNews(INCARNATION, perSecond, sentAgeMillis, receivedAgeMillis), wanted);
    }
}
