package org.streamring.kernel.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.testng.annotations.Test;

public class FleetRetryBudgetTest {
    private static final long WINDOW_MILLIS = 10_000;

    @Test
    public void entriesShareTheSlackEvenly() {
        FleetRetryBudget budget = new FleetRetryBudget(0.2, 50, WINDOW_MILLIS);
        assertThat(granted(budget, 100, 0, 5)).isEqualTo(8);
    }

    @Test
    public void requestsAddRetriesToTheBudget() {
        FleetRetryBudget budget = new FleetRetryBudget(0.2, 0, WINDOW_MILLIS);
        IntStream.range(0, 100).forEach(i -> budget.request(i));
        assertThat(granted(budget, 100, 100, 1)).isEqualTo(16);
    }

    @Test
    public void noWindowHoldsMoreRetriesThanTheLimit() {
        FleetRetryBudget budget = new FleetRetryBudget(0, 10, WINDOW_MILLIS);
        assertThat(granted(budget, 100, 0, 1)).isEqualTo(8);
        assertThat(granted(budget, 100, WINDOW_MILLIS - 1, 1)).isZero();
        assertThat(granted(budget, 100, WINDOW_MILLIS, 1)).isEqualTo(8);
    }

    private static long granted(FleetRetryBudget budget, int asked, long nowMillis, int entries) {
        return IntStream.range(0, asked)
                .filter(i -> budget.tryRetry(nowMillis, entries))
                .count();
    }
}
