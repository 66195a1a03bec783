package org.streamring.kernel.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.streamring.kernel.registry.BackendInstance;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PlacementTableTest {
    private final List<BackendInstance> replicas =
            IntStream.range(0, 5).mapToObj(PlacementTableTest::replica).toList();
    private PlacementTable table;

    @BeforeMethod
    public void setUp() {
        table = new PlacementTable(new Random(1));
    }

    @Test
    public void promptsThatBeginAlikeMeetTheSameReplicaFromEveryEntry() {
        PlacementTable other = new PlacementTable(new Random(2));
        assertThat(choose(table, "part-7")).isEqualTo(choose(other, "part-7"));
    }

    @Test
    public void aReplicaWithMuchWorkAheadIsPassedOver() {
        String first = choose(table, "part-7");
        table.state(first).started(100_000);
        assertThat(choose(table, "part-7")).isNotEqualTo(first);
    }

    @Test
    public void withoutAffinityTheLeastLoadedIsChosen() {
        replicas.stream().skip(1).forEach(replica -> table.state(replica.id()).started(0));
        assertThat(choose(table, "")).isEqualTo(replicas.get(0).id());
    }

    @Test
    public void triedReplicasAreLeftOut() {
        PlacementQuery query = new PlacementQuery("", 0, 0, "hall", Set.of("i-0", "i-1", "i-2", "i-3"));
        assertThat(table.choose(query, replicas, 1, 0).orElseThrow().id()).isEqualTo("i-4");
    }

    @Test
    public void anUnreachableReplicaIsLeftOutForAWhileThenTriedOnce() {
        ReplicaState state = table.state("i-0");
        state.unreachable(1_000);
        assertThat(state.usable(1_500)).isFalse();
        assertThat(state.usable(2_000)).isTrue();

        state.started(0);
        assertThat(state.usable(2_000)).isFalse();
        state.succeeded();
        assertThat(state.usable(2_000)).isTrue();
    }

    @Test
    public void failuresInARowEject() {
        ReplicaState state = table.state("i-0");
        state.failed(0);
        state.failed(0);
        assertThat(state.usable(0)).isTrue();
        state.failed(0);
        assertThat(state.usable(0)).isFalse();
    }

    @Test
    public void aReplicaNeverGetsMoreThanItsSlots() {
        table.state("i-0").started(0);
        BackendInstance small = new BackendInstance("i-0", "assist", "10.0.0.1", 1, "hall", 1, true);
        PlacementQuery query = new PlacementQuery("", 0, 0, "hall", Set.of());
        assertThat(table.choose(query, List.of(small), 1, 0)).isEmpty();
    }

    private String choose(PlacementTable chooser, String affinity) {
        PlacementQuery query = new PlacementQuery(affinity, 1_000, 0, "hall", Set.of());
        return chooser.choose(query, replicas, 1, 0).orElseThrow().id();
    }

    private static BackendInstance replica(int number) {
        return new BackendInstance("i-" + number, "assist", "10.0.0." + number, 8_080, "hall", 64, true);
    }
}
