package org.streamring.kernel.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.testng.annotations.Test;

public class FixedWindowTest {
    private final WaitPolicy policy = new FixedWindow();

    @Test
    public void aRequestWaitsForAFifthOfItsTargetRegardlessOfTheQueueLength() {
        assertThat(policy.decide(new WaitQuery(199, 1_000, 10_000, 500, 0, 0)).waits())
                .isTrue();
        WaitDecision refused = policy.decide(new WaitQuery(200, 1_000, 10_000, 0, 10, 0));
        assertThat(refused.waits()).isFalse();
        assertThat(refused.retryAfter()).isEqualTo(FixedWindow.RETRY_AFTER);
    }

    @Test
    public void aRequestIsRefusedImmediatelyIfNoReplicaOpensWithinItsWait() {
        WaitDecision refused = policy.decide(new WaitQuery(0, 1_000, 10_000, 0, 10, 201));
        assertThat(refused).isEqualTo(WaitDecision.refuse(Duration.ofMillis(201)));
        assertThat(policy.decide(new WaitQuery(0, 1_000, 10_000, 0, 10, 200)).waits())
                .isTrue();
    }

    @Test
    public void aRequestCheckedAfterTheEndOfItsWaitIsRefusedWithTheSameRetryTime() {
        WaitDecision refused = policy.decide(new WaitQuery(215, 1_000, 10_000, 0, 10, 0));
        assertThat(refused).isEqualTo(WaitDecision.refuse(FixedWindow.RETRY_AFTER));
    }

    @Test
    public void aRequestIsRefusedImmediatelyIfAllReplicasAreShuttingDown() {
        WaitDecision refused = policy.decide(new WaitQuery(0, 1_000, 10_000, 0, 10, WaitQuery.NEVER));
        assertThat(refused).isEqualTo(WaitDecision.refuse(FixedWindow.RETRY_AFTER));
    }
}
