package org.streamring.kernel.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.testng.annotations.Test;

public class FleetRetryBudgetTest {
    private static final long WINDOW = 10_000;

    @Test
    public void entriesShareTheSlackEvenly() {
        FleetRetryBudget budget = new FleetRetryBudget(0.2, 50, WINDOW);
        assertThat(granted(budget, 100, 0, 5)).isEqualTo(8);
    }

    @Test
    public void requestsEarnRetries() {
        FleetRetryBudget budget = new FleetRetryBudget(0.2, 0, WINDOW);
        IntStream.range(0, 100).forEach(i -> budget.request(i));
        assertThat(granted(budget, 100, 100, 1)).isEqualTo(16);
    }

    @Test
    public void noWindowHoldsMoreThanTheLimit() {
        FleetRetryBudget budget = new FleetRetryBudget(0, 10, WINDOW);
        assertThat(granted(budget, 100, 0, 1)).isEqualTo(8);
        assertThat(granted(budget, 100, WINDOW - 1, 1)).isZero();
        assertThat(granted(budget, 100, WINDOW, 1)).isEqualTo(8);
    }

    private static long granted(FleetRetryBudget budget, int asked, long nowMillis, int entries) {
        return IntStream.range(0, asked)
                .filter(i -> budget.tryRetry(nowMillis, entries))
                .count();
    }
}
