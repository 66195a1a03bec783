package org.streamring.kernel.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

public class PauseCalibrationTest {
    @Test
    public void theFactorApproachesZeroIfNoPausesOccur() {
        PauseCalibration pauses = new PauseCalibration();
        IntStream.range(0, 100).forEach(i -> pauses.ended(0.5, false));
        assertThat(pauses.factor()).isLessThan(0.05);
    }

    @Test
    public void theFactorConvergesToTheObservedPauseRate() {
        PauseCalibration pauses = new PauseCalibration();
        Random random = new Random(1);
        double sum = 0;
        for (int i = 0; i < 2_000; i++) {
            pauses.ended(0.5, random.nextInt(5) < 2);
            sum += i < 1_000 ? 0 : pauses.factor();
        }
        assertThat(sum / 1_000).isCloseTo(0.8, within(0.15));
    }
}
