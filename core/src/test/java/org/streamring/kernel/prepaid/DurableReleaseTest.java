package org.streamring.kernel.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class DurableReleaseTest {
    private DurableRelease release;

    @BeforeMethod
    public void setUp() {
        release = new DurableRelease(10_000);
    }

    @Test
    public void aLongerTimeAppliesWhenItIsProposed() {
        release.proposed(20_000);
        assertThat(release.releaseMillis()).isEqualTo(20_000);
    }

    @Test
    public void aShorterTimeAppliesAfterItIsConfirmed() {
        release.confirmed(20_000);
        release.proposed(10_000);
        assertThat(release.releaseMillis()).isEqualTo(20_000);
        release.confirmed(10_000);
        assertThat(release.releaseMillis()).isEqualTo(10_000);
    }

    @Test
    public void aRefusedRowRestoresThePreviousTime() {
        release.proposed(20_000);
        release.refused();
        assertThat(release.releaseMillis()).isEqualTo(10_000);
    }

    @Test
    public void withoutAnAnswerTheLongestTimeAppliesUntilARowIsConfirmed() {
        release.proposed(20_000);
        release.outcomeUnknown();
        release.proposed(10_000);
        release.refused();
        assertThat(release.releaseMillis()).isEqualTo(20_000);
        release.confirmed(10_000);
        assertThat(release.releaseMillis()).isEqualTo(10_000);
    }
}
