package org.streamring.kernel.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.stream.IntStream;
import org.testng.annotations.Test;

public class EngineSpeedTest {
    @Test
    public void speedsAreEstimatedFromFirstEvents() {
        EngineSpeed speed = new EngineSpeed();
        IntStream.range(0, 40).forEach(i -> speed.addFirstEvent(100, 60));
        IntStream.range(0, 40).forEach(i -> speed.addFirstEvent(9_000, 60 + 9_000 / 20.0));
        assertThat(speed.firstEventMillis()).isCloseTo(60, within(5.0));
        assertThat(speed.tokensPerMilli()).isCloseTo(20, within(2.0));
    }

    @Test
    public void aSingleDelayedPromptChangesTheEstimateLittle() {
        EngineSpeed speed = new EngineSpeed();
        double before = speed.tokensPerMilli();
        speed.addFirstEvent(9_000, 20_000);
        assertThat(speed.tokensPerMilli()).isCloseTo(before, within(before * 0.1));
    }
}
