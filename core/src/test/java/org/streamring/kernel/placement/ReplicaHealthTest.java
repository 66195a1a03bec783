package org.streamring.kernel.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/** A replica that fell silent receives no requests until it is heard again. */
public class ReplicaHealthTest {
    private static final long NOW = 10_000;

    @Test
    public void aSilentReplicaIsUsableOnceItIsHeard() {
        ReplicaHealth silent = new ReplicaHealth();
        silent.silent(NOW);
        assertThat(silent.usable(NOW, true)).isFalse();
        silent.heard();
        assertThat(silent.usable(NOW, false)).isTrue();
    }

    @Test
    public void aReplicaThatStaysSilentIsProbedLessAndLessOften() {
        ReplicaHealth silent = new ReplicaHealth();
        silent.silent(NOW);
        assertThat(silent.usable(NOW + 800, true)).isTrue();
        silent.silent(NOW + 800);
        assertThat(silent.usable(NOW + 2_300, true)).isFalse();
        assertThat(silent.usable(NOW + 2_400, true)).isTrue();
        assertThat(silent.usable(NOW + 2_400, false)).isFalse();
    }

    @Test
    public void aLongSilenceIsForgottenOnceTheReplicaIsHeard() {
        ReplicaHealth silent = new ReplicaHealth();
        for (long now = NOW; now < NOW + 5_000; now += 200) {
            silent.silent(now);
        }
        silent.heard();
        silent.failed(NOW + 5_000);
        assertThat(silent.usable(NOW + 5_000, false)).isTrue();
    }

    @Test
    public void aReplicaThatIsHeardStaysEjectedForFailures() {
        ReplicaHealth failing = new ReplicaHealth();
        for (int i = 0; i < 3; i++) {
            failing.failed(NOW);
        }
        failing.silent(NOW);
        failing.heard();
        assertThat(failing.usable(NOW, true)).isFalse();
    }

    @Test
    public void dataOfAReplicaThatIsNotSilentChangesNothing() {
        ReplicaHealth unreachable = new ReplicaHealth();
        unreachable.unreachable(NOW);
        unreachable.heard();
        assertThat(unreachable.usable(NOW, true)).isFalse();
    }
}
