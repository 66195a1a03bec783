package org.streamring.kernel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.streamring.kernel.admission.RequestDemand.Verdict;
import org.testng.annotations.Test;

public class RequestDemandTest {
    private static final long DEADLINE = 1_000;

    private int looks;
    private boolean present = true;
    private final RequestDemand demand = new RequestDemand(this::look, DEADLINE);

    private boolean look() {
        looks++;
        return present;
    }

    @Test
    public void theCallerIsLookedForEachTime() {
        int before = looks;
        present = true;
        assertThat(demand.at(0)).isEqualTo(Verdict.WANTED);
        present = false;
        assertThat(demand.at(0)).isEqualTo(Verdict.CALLER_GONE);
        assertThat(looks - before).isEqualTo(2);
    }

    @Test
    public void aRequestWithoutTimeIsNotWantedWhoeverWaits() {
        long last = DEADLINE - RequestDemand.LEAST_TIME_MILLIS;
        assertThat(demand.hasTime(last - 1)).isTrue();
        assertThat(demand.hasTime(last)).isFalse();
        assertThat(demand.at(last)).isEqualTo(Verdict.NO_TIME);
        assertThat(demand.at(DEADLINE + 1)).isEqualTo(Verdict.NO_TIME);
    }
}
