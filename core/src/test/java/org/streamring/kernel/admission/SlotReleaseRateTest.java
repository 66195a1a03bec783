package org.streamring.kernel.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.stream.LongStream;
import org.testng.annotations.Test;

public class SlotReleaseRateTest {
    @Test
    public void aConstantRateIsMeasuredWithinSeconds() {
        SlotReleaseRate rate = new SlotReleaseRate();
        LongStream.range(0, 200).map(each -> each * 25).forEach(rate::recordRelease);
        assertThat(rate.perMilli(5_000)).isCloseTo(1 / 25.0, within(0.002));
    }

    @Test
    public void theRateDecaysAfterReleasesEnd() {
        SlotReleaseRate rate = new SlotReleaseRate();
        LongStream.range(0, 40).map(each -> each * 25).forEach(rate::recordRelease);
        assertThat(rate.perMilli(6_000)).isLessThan(0.001);
    }
}
