package org.streamring.kernel.permit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.streamring.kernel.permit.LimitSimulation.Division;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runs simulated fleets whose servers announce limits, with and without random faults. */
public class LimitsUnderFaultsTest {
    @DataProvider
    public static Object[][] fleets() {
        return new Object[][] {{2, 40}, {6, 40}, {33, 8}, {300, 1}};
    }

    @Test(dataProvider = "fleets")
    public void noWindowHoldsMoreRequestsThanTheLimitAllows(int entries, int runs) {
        for (int seed = 0; seed < runs; seed++) {
            LimitSimulation simulation =
                    new LimitSimulation(seed, Division.PERMITS, entries, 30 + 2 * entries, seed % 2 == 0).run(true);
            assertThat(simulation.breaches())
                    .as("arrivals above the limit, seed %d", seed)
                    .isEmpty();
        }
    }

    @Test
    public void moreThanHalfOfALimitIsUsedIfOneEntryReceivesAQuarterOfTheRequests() {
        double used = IntStream.range(0, 20)
                .mapToDouble(seed -> new LimitSimulation(seed, Division.PERMITS, 6, 42, true)
                        .run(false)
                        .used())
                .average()
                .orElseThrow();
        assertThat(used).isGreaterThan(0.5);
    }
}
