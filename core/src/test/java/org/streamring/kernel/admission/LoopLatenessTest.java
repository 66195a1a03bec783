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
        assertThat(eventLoopDelay.ran(EventLoopDelay.LATE_MILLIS, 1_000)).isEmpty();
    }

    @Test
    public void aLoopThatBecomesLateIsReportedOnce() {
        assertThat(eventLoopDelay.ran(400, 1_000)).contains(new EventLoopDelay.Change(true, 400, 400, 400));
        assertThat(eventLoopDelay.ran(900, 2_000)).isEmpty();
    }

    @Test
    public void theLoopIsInTimeAgainOnlyAfterAShortDelay() {
        eventLoopDelay.ran(400, 1_000);
        eventLoopDelay.ran(900, 2_000);
        assertThat(eventLoopDelay.ran(EventLoopDelay.IN_TIME_MILLIS + 1, 2_100)).isEmpty();
        assertThat(eventLoopDelay.ran(3, 2_200)).contains(new EventLoopDelay.Change(false, 3, 900, 1_600));
    }

    @Test
    public void theLongestDelayIsResetWhenTheLoopBecomesLateAgain() {
        eventLoopDelay.ran(900, 1_000);
        eventLoopDelay.ran(0, 1_100);
        eventLoopDelay.ran(200, 5_000);
        assertThat(eventLoopDelay.ran(0, 5_100)).contains(new EventLoopDelay.Change(false, 0, 200, 300));
    }
}
