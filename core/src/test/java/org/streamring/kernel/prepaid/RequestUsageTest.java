package org.streamring.kernel.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

public class RequestUsageTest {
    private final RequestUsage usage = new RequestUsage(100, 50);

    @Test
    public void aRequestThatHasNotRunUsesNothing() {
        assertThat(usage.used()).isZero();
        assertThat(usage.neededForNextRun()).isEqualTo(150);
    }

    @Test
    public void aRunThatWasReceivedUsesItsPromptAndWhatArrived() {
        RequestUsage received = new RequestUsage(100, 50);
        received.received(20);
        received.runReceived();
        assertThat(received.used()).isEqualTo(120);
    }

    @Test
    public void theLastEventCountsNoMoreThanTheDeclaredMaximumAllows() {
        RequestUsage complete = new RequestUsage(100, 50);
        complete.received(48);
        complete.received(5);
        complete.runReceived();
        assertThat(complete.used()).isEqualTo(150);
    }

    @Test
    public void aRunWhoseEndWasNotReceivedUsesItsMaximum() {
        RequestUsage broken = new RequestUsage(100, 50);
        broken.received(20);
        broken.runUnknown();
        assertThat(broken.used()).isEqualTo(150);
        assertThat(broken.answerTokens()).isEqualTo(new RequestUsage.AnswerTokens(20, 30));
    }

    @Test
    public void aSecondRunNeedsItsOwnMaximumAndNoSecondPrompt() {
        RequestUsage retried = new RequestUsage(100, 50);
        retried.received(20);
        retried.runUnknown();
        assertThat(retried.neededForNextRun()).isEqualTo(200);
        retried.received(30);
        retried.runReceived();
        assertThat(retried.used()).isEqualTo(180);
    }

    @Test
    public void aRunThatFollowsTheOneInProgressNeedsTheMaximumOfBoth() {
        RequestUsage running = new RequestUsage(100, 50);
        running.received(20);
        long reserved = running.neededForRunAfterCurrent();
        running.runUnknown();
        assertThat(reserved).isEqualTo(running.neededForNextRun());
    }
}
