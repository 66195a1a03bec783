package org.streamring.direct.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

public class StreamTimingTest {
    private long now = 1_000;
    private final StreamTiming timing = new StreamTiming(() -> now, 900);

    @Test
    public void withoutEventsNothingIsTold() {
        assertThat(new StreamTiming(() -> now, 900).firstEventMillis()).isEmpty();
    }

    @Test
    public void theFirstEventIsCountedFromTheArrivalAndPausesBetweenEvents() {
        timing.event();
        now = 1_050;
        timing.event();
        now = 1_400;
        timing.event();
        now = 1_420;
        timing.event();
        assertThat(timing.firstEventMillis()).hasValue(100);
        assertThat(timing.longestPauseMillis()).isEqualTo(350);
    }
}
