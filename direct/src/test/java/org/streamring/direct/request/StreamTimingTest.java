package org.streamring.direct.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

public class StreamTimingTest {
    private long now = 1_000;
    private final StreamTiming timing = new StreamTiming(() -> now, 900);

    @Test
    public void theFirstEventTimeIsEmptyWithoutEvents() {
        assertThat(new StreamTiming(() -> now, 900).firstEventMillis()).isEmpty();
    }

    @Test
    public void theFirstEventIsTimedFromTheArrivalAndPausesBetweenConsecutiveEvents() {
        timing.recordEvent();
        now = 1_050;
        timing.recordEvent();
        now = 1_400;
        timing.recordEvent();
        now = 1_420;
        timing.recordEvent();
        assertThat(timing.firstEventMillis()).hasValue(100);
        assertThat(timing.longestPauseMillis()).isEqualTo(350);
    }
}
