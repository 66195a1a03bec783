package org.streamring.kernel.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RenewalIntervalTest {
    private static final int HOLDERS = 24;
    /** Transactions per second that one partition of the store executes. */
    private static final double TRANSACTIONS_PER_SECOND = 200;

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{33}, {100}, {300}, {420}};
    }

    /** After its silence timeout, an entry can use tokens only as fast as witnesses record them. */
    @Test(dataProvider = "sizes")
    public void aHolderRenewsThreeTimesWithinTheSilenceTimeout(int entries) {
        long interval = RenewalInterval.millis(true, Math.min(HOLDERS, entries), entries);
        assertThat(3 * interval)
                .isLessThan(PrepaidSettings.DEFAULT.silenceTimeout().toMillis());
    }

    @Test(dataProvider = "sizes")
    public void allEntriesTogetherUseLessThanHalfOfAPartition(int entries) {
        double holders = HOLDERS * 1_000.0 / RenewalInterval.millis(true, HOLDERS, entries);
        double others = (entries - HOLDERS) * 1_000.0 / RenewalInterval.millis(false, HOLDERS, entries);
        assertThat(holders + others).isLessThan(TRANSACTIONS_PER_SECOND / 2);
    }
}
