package org.streamring.kernel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

public class FixedWindowTest {
    private final WaitPolicy policy = new FixedWindow();

    @Test
    public void aRequestWaitsForAFifthOfItsTargetWhateverIsAhead() {
        assertThat(policy.decide(new WaitQuery(199, 1_000, 10_000, 500, 0)).waits())
                .isTrue();
        WaitDecision refused = policy.decide(new WaitQuery(200, 1_000, 10_000, 0, 10));
        assertThat(refused.waits()).isFalse();
        assertThat(refused.retryAfter()).isEqualTo(FixedWindow.RETRY_AFTER);
    }
}
