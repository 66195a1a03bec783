package org.streamring.kernel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.streamring.kernel.admission.RequestDemand.Verdict;
import org.testng.annotations.Test;

public class RequestDemandTest {
    private static final long DEADLINE_MILLIS = 1_000;

    private int presenceChecks;
    private boolean present = true;
    private final RequestDemand demand = new RequestDemand(this::checkPresence, DEADLINE_MILLIS);

    private boolean checkPresence() {
        presenceChecks++;
        return present;
    }

    @Test
    public void thePresenceOfTheCallerIsCheckedOnEachCall() {
        int before = presenceChecks;
        present = true;
        assertThat(demand.at(0)).isEqualTo(Verdict.WANTED);
        present = false;
        assertThat(demand.at(0)).isEqualTo(Verdict.CALLER_GONE);
        assertThat(presenceChecks - before).isEqualTo(2);
    }

    @Test
    public void aRequestWithoutTimeLeftIsNotSentEvenIfItsCallerWaits() {
        long latestMillis = DEADLINE_MILLIS - RequestDemand.MIN_ANSWER_MILLIS;
        assertThat(demand.hasTime(latestMillis - 1)).isTrue();
        assertThat(demand.hasTime(latestMillis)).isFalse();
        assertThat(demand.at(latestMillis)).isEqualTo(Verdict.NO_TIME);
        assertThat(demand.at(DEADLINE_MILLIS + 1)).isEqualTo(Verdict.NO_TIME);
    }
}
