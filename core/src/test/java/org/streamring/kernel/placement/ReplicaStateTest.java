package org.streamring.kernel.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import java.util.Set;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.model.route.ServiceTraits;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ReplicaStateTest {
    private static final ServiceTraits PLAIN = new ServiceTraits("portal", 100, 0, 0, 0);
    private static final BackendInstance REPLICA =
            new BackendInstance("i-1", "portal", "10.0.0.1", 8_080, "hall", 8, true, 0, 0, "v1");
    private static final long NOW = 10_000;
    private static final long AFTER_EJECTION = NOW + 800;

    private PlacementTable table;
    private ReplicaState state;

    @BeforeMethod
    public void setUp() {
        table = new PlacementTable(new Random(1));
        state = table.state(REPLICA.id());
    }

    private PlacedPrompt start() {
        PlacementQuery query = new PlacementQuery(Prompt.NONE, 0, 400, 400, "hall", Set.of());
        return table.started(query, PLAIN, REPLICA, NOW);
    }

    @Test
    public void attemptsThatStaySilentDoNotKeepAReplicaFromBeingProbed() {
        start();
        state.attemptSilent();
        state.silent(NOW);
        assertThat(state.usable(AFTER_EJECTION - 1)).isFalse();
        assertThat(state.usable(AFTER_EJECTION)).isTrue();
    }

    @Test
    public void aReplicaThatWasSilentIsProbedByOneAttemptAtATime() {
        start();
        state.attemptSilent();
        state.silent(NOW);
        start();
        assertThat(state.usable(AFTER_EJECTION)).isFalse();
    }

    @Test
    public void anAttemptThatIsHeardAgainCountsAsRunning() {
        PlacedPrompt attempt = start();
        state.attemptSilent();
        state.unreachable(NOW);
        state.attemptNoLongerSilent();
        assertThat(state.usable(AFTER_EJECTION)).isFalse();
        attempt.ended();
        assertThat(state.usable(AFTER_EJECTION)).isTrue();
    }
}
