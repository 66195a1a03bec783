package org.streamring.kernel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.streamring.kernel.admission.RequestLiveness.Verdict;
import org.testng.annotations.Test;

public class RequestDemandTest {
    private static final long DEADLINE_MILLIS = 1_000;

    private int presenceChecks;
    private boolean present = true;
    private final RequestLiveness liveness = new RequestLiveness(this::checkPresence, DEADLINE_MILLIS);

    private boolean checkPresence() {
        presenceChecks++;
        return present;
    }

    @Test
    public void thePresenceOfTheCallerIsCheckedOnEachCall() {
        int before = presenceChecks;
        present = true;
        assertThat(liveness.at(0)).isEqualTo(Verdict.WANTED);
        present = false;
        assertThat(liveness.at(0)).isEqualTo(Verdict.CALLER_GONE);
        assertThat(presenceChecks - before).isEqualTo(2);
    }

    @Test
    public void aRequestWithoutTimeLeftIsNotSentEvenIfItsCallerWaits() {
        long latestMillis = DEADLINE_MILLIS - RequestLiveness.MIN_ANSWER_MILLIS;
        assertThat(liveness.hasTime(latestMillis - 1)).isTrue();
        assertThat(liveness.hasTime(latestMillis)).isFalse();
        assertThat(liveness.at(latestMillis)).isEqualTo(Verdict.NO_TIME);
        assertThat(liveness.at(DEADLINE_MILLIS + 1)).isEqualTo(Verdict.NO_TIME);
    }
}
