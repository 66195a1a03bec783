package org.streamring.kernel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LoopLatenessTest {
    private EventLoopDelay eventLoopDelay;

    @BeforeMethod
    public void setUp() {
        eventLoopDelay = new EventLoopDelay();
    }

    @Test
    public void shortDelaysCauseNoChange() {
        assertThat(eventLoopDelay.recordDelay(EventLoopDelay.LATE_MILLIS, 1_000))
                .isEmpty();
    }

    @Test
    public void aLoopThatBecomesLateIsReportedOnce() {
        assertThat(eventLoopDelay.recordDelay(400, 1_000)).contains(new EventLoopDelay.Change(true, 400, 400, 400));
        assertThat(eventLoopDelay.recordDelay(900, 2_000)).isEmpty();
    }

    @Test
    public void theLoopIsInTimeAgainOnlyAfterAShortDelay() {
        eventLoopDelay.recordDelay(400, 1_000);
        eventLoopDelay.recordDelay(900, 2_000);
        assertThat(eventLoopDelay.recordDelay(EventLoopDelay.IN_TIME_MILLIS + 1, 2_100))
                .isEmpty();
        assertThat(eventLoopDelay.recordDelay(3, 2_200)).contains(new EventLoopDelay.Change(false, 3, 900, 1_600));
    }

    @Test
    public void theLongestDelayIsResetWhenTheLoopBecomesLateAgain() {
        eventLoopDelay.recordDelay(900, 1_000);
        eventLoopDelay.recordDelay(0, 1_100);
        eventLoopDelay.recordDelay(200, 5_000);
        assertThat(eventLoopDelay.recordDelay(0, 5_100)).contains(new EventLoopDelay.Change(false, 0, 200, 300));
    }
}
