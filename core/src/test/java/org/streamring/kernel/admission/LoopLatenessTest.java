package org.streamring.kernel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LoopLatenessTest {
    private LoopLateness lateness;

    @BeforeMethod
    public void setUp() {
        lateness = new LoopLateness();
    }

    @Test
    public void shortDelaysCauseNoChange() {
        assertThat(lateness.ran(LoopLateness.LATE_MILLIS, 1_000)).isEmpty();
    }

    @Test
    public void aLoopThatBecomesLateIsReportedOnce() {
        assertThat(lateness.ran(400, 1_000)).contains(new LoopLateness.Change(true, 400, 400, 400));
        assertThat(lateness.ran(900, 2_000)).isEmpty();
    }

    @Test
    public void theLoopIsInTimeAgainOnlyAfterAShortDelay() {
        lateness.ran(400, 1_000);
        lateness.ran(900, 2_000);
        assertThat(lateness.ran(LoopLateness.IN_TIME_MILLIS + 1, 2_100)).isEmpty();
        assertThat(lateness.ran(3, 2_200)).contains(new LoopLateness.Change(false, 3, 900, 1_600));
    }

    @Test
    public void theLongestDelayIsResetWhenTheLoopBecomesLateAgain() {
        lateness.ran(900, 1_000);
        lateness.ran(0, 1_100);
        lateness.ran(200, 5_000);
        assertThat(lateness.ran(0, 5_100)).contains(new LoopLateness.Change(false, 0, 200, 300));
    }
}
