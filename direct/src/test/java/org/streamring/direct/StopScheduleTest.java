package org.streamring.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.testng.annotations.Test;

public class StopScheduleTest {
    private static final boolean STREAM = true;

    private final StopSchedule shortGrace = new StopSchedule(() -> Duration.ofSeconds(3));
    private final StopSchedule longGrace = new StopSchedule(() -> Duration.ofSeconds(30));

    /** A stream was accepted 0.1 s before the end of a stop and cut. */
    @Test
    public void aStreamThatArrivesShortlyBeforeTheEndOfTheStopIsRefused() {
        assertThat(shortGrace.leavesTimeFor(STREAM, 2_400)).isFalse();
        assertThat(shortGrace.leavesTimeFor(STREAM, 600)).isFalse();
    }

    @Test
    public void aStreamThatArrivesWhileTheBalancerStillSendsConnectionsIsAcceptedIfThereIsTime() {
        assertThat(shortGrace.leavesTimeFor(STREAM, 400)).isTrue();
        assertThat(longGrace.leavesTimeFor(STREAM, 2_400)).isTrue();
    }

    @Test
    public void aStreamThatArrivesLaterIsRefusedAlthoughThereIsTime() {
        assertThat(longGrace.leavesTimeFor(STREAM, 2_500)).isFalse();
    }

    @Test
    public void aCallIsAcceptedAsLongAsThereIsTime() {
        assertThat(longGrace.leavesTimeFor(!STREAM, 27_000)).isTrue();
        assertThat(longGrace.leavesTimeFor(!STREAM, 27_500)).isFalse();
    }
}
