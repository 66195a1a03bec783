package org.streamring.kernel.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;
import static org.streamring.kernel.routing.AttemptResult.FAILED;
import static org.streamring.kernel.routing.AttemptResult.INCONCLUSIVE;
import static org.streamring.kernel.routing.AttemptResult.SERVED;

import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ReplicaTableTest extends RoutingTestBase {
    @Test
    public void aServerThatReportsItsShutdownGetsNoNewWorkBeforeTheBoxListShowsIt() {
        table.reported("s1", new LoadReport(0, 8, true));
        assertThat(names(candidates(0))).doesNotContain("s1").hasSize(5);
    }

    @Test
    public void aServerThatAnOperatorStoppedGetsNoNewWork() {
        table.setStoppedByOperator(Set.of("s2"));
        assertThat(names(candidates(0))).doesNotContain("s2");
    }

    @Test
    public void aDisconnectedServerGetsNoNewWork() {
        table.disconnected("s3");
        assertThat(names(candidates(0))).doesNotContain("s3");
    }

    private void runAttempt(String name, AttemptResult result, long now) {
        table.started(name);
        table.ended(name, result, now);
    }

    private void failRepeatedly(String name, long now) {
        for (int i = 0; i < 3; i++) {
            runAttempt(name, FAILED, now);
        }
    }

    @Test
    public void aFailingServerIsEjectedAndGetsOneTrialAttemptAtATime() {
        failRepeatedly("s0", 1_000);
        assertThat(names(candidates(1_500))).doesNotContain("s0");
        assertThat(names(candidates(4_000))).contains("s0");
        table.started("s0");
        assertThat(names(candidates(4_000))).as("one trial at a time").doesNotContain("s0");
        table.ended("s0", SERVED, 4_100);
        assertThat(names(candidates(4_100))).contains("s0");
    }

    @Test
    public void aTrialThatNeverStartsDoesNotKeepAServerEjected() {
        failRepeatedly("s0", 1_000);
        selector.choose(candidates(4_000), RouteQuery.FIRST_TRY, Candidate::cost);
        assertThat(names(candidates(4_001))).contains("s0");
    }

    @Test
    public void theCostOfAReadmittedServerFallsGradually() {
        failRepeatedly("s0", 1_000);
        runAttempt("s0", SERVED, 4_000);
        table.reported("s0", new LoadReport(1, 10, false));
        assertThat(candidate("s0", 4_000).cost()).isCloseTo(0.8, within(0.01));
        assertThat(candidate("s0", 9_000).cost()).isCloseTo(0.5, within(0.01));
        assertThat(candidate("s0", 14_000).cost()).isCloseTo(0.2, within(0.01));
    }

    @Test
    public void requestsThatFailEverywhereEjectAtMostHalfOfTheServers() {
        for (int i = 0; i < 6; i++) {
            failRepeatedly("s" + i, 1_000);
        }
        assertThat(candidates(1_500)).as("if all fail, none is ejected").hasSize(6);
        for (int i = 3; i < 6; i++) {
            runAttempt("s" + i, SERVED, 1_500);
        }
        assertThat(names(candidates(1_500))).containsExactlyInAnyOrder("s3", "s4", "s5");
    }

    @Test
    public void cancelledAttemptsDoNotEjectTheirServer() {
        for (int i = 0; i < 10; i++) {
            runAttempt("s0", INCONCLUSIVE, 1_000);
        }
        assertThat(names(candidates(1_500))).contains("s0");
    }

    private void recordServiceTimes(String name, double millis, long now) {
        for (int i = 0; i < 10; i++) {
            table.recordServiceTime(name, millis, now);
        }
    }

    @DataProvider
    public Object[][] serviceTimes() {
        return new Object[][] {
            {"as fast as the other servers", 30.0, 1.0},
            {"a little slower, which may be random variation", 40.0, 1.0},
            {"twice as slow", 60.0, 2.0},
            {"four times as slow", 120.0, 4.0},
            {"100 times as slow, above the maximum", 3_000.0, 8.0},
            {"faster", 10.0, 1.0},
        };
    }

    @Test(dataProvider = "serviceTimes")
    public void aSlowServerHasAHigherHandicap(String name, double millis, double handicap) {
        for (int i = 1; i < 6; i++) {
            recordServiceTimes("s" + i, 30, 0);
        }
        recordServiceTimes("s0", millis, 0);
        assertThat(candidate("s0", 0).handicap()).as(name).isCloseTo(handicap, within(0.01));
        assertThat(candidate("s1", 0).handicap()).as("the other servers").isEqualTo(1);
    }

    @Test
    public void aServerThatWasSlowIsTriedAgain() {
        for (int i = 1; i < 6; i++) {
            recordServiceTimes("s" + i, 30, 0);
        }
        recordServiceTimes("s0", 120, 0);
        assertThat(candidate("s0", 60_000).handicap()).isEqualTo(1);
    }

    @Test
    public void noServerIsSlowWhenTooFewCanBeCompared() {
        recordServiceTimes("s0", 120, 0);
        recordServiceTimes("s1", 30, 0);
        assertThat(candidate("s0", 0).handicap()).isEqualTo(1);
    }

    @Test
    public void attemptsSentSinceTheLastReportCountAsLoad() {
        table.reported("s0", new LoadReport(0, 10, false));
        for (int i = 0; i < 5; i++) {
            table.started("s0");
        }
        assertThat(candidate("s0", 0).load()).isEqualTo(0.5);
    }
}
