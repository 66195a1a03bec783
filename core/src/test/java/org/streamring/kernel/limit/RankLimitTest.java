package org.streamring.kernel.limit;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RankLimitTest {
    @DataProvider
    public Object[][] limits() {
        return new Object[][] {
            {12, 0, 12}, {12, 5, 10}, {12, 9, 9}, {64, 0, 64}, {64, 9, 45}, {1, 9, 1}, {2, 9, 2}, {0, 9, 1},
        };
    }

    @Test(dataProvider = "limits")
    public void lessUrgentRanksHaveASmallerLimit(int capacity, int rank, int limit) {
        assertThat(RankLimit.of(capacity, rank)).isEqualTo(limit);
    }
}
