package org.streamring.kernel.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.testng.annotations.Test;

public class ReportPaceTest {
    private static final long LINK_BYTES_PER_SECOND = 1_250_000;
    private static final long REPORT_BYTES = 29 * 2_000L;

    /** Returns the bytes of reports sent in 10 s if a long prompt starts every 10 ms. */
    private static long reportedBytes(ReportPace pace) {
        long bytes = 0;
        long due = 0;
        for (long now = 0; now < 10_000; now += 10) {
            if (now >= due) {
                pace.recordReport(REPORT_BYTES, now);
                bytes += REPORT_BYTES;
                due = now + pace.waitMillis(now);
            }
        }
        return bytes;
    }

    @Test
    public void reportsOfManyLongPromptsUseALimitedFractionOfTheLink() {
        long reportedBytes = reportedBytes(new ReportPace(() -> OptionalLong.of(LINK_BYTES_PER_SECOND)));
        assertThat(reportedBytes)
                .isLessThanOrEqualTo((long) (10 * LINK_BYTES_PER_SECOND * ReportPace.MAX_LINK_FRACTION) + REPORT_BYTES);
    }

    @Test
    public void theFirstLongPromptIsReportedWithoutExtraDelay() {
        ReportPace pace = new ReportPace(() -> OptionalLong.of(LINK_BYTES_PER_SECOND));
        assertThat(pace.waitMillis(5_000)).isEqualTo(ReportPace.MIN_DELAY_MILLIS);
    }

    @Test
    public void reportsAreNotLimitedIfTheLinkRateIsUnknown() {
        ReportPace pace = new ReportPace(OptionalLong::empty);
        pace.recordReport(100 * REPORT_BYTES, 0);
        assertThat(pace.waitMillis(0)).isEqualTo(ReportPace.MIN_DELAY_MILLIS);
    }
}
