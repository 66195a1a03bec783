package org.streamring.kernel.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.streamring.kernel.prepaid.DrillSimulation.Design;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class PrepaidThroughDrillsTest {
    private static final int SEEDS = 300;
    private static final int STEPS = 1_200;

    @DataProvider
    public Object[][] seeds() {
        return IntStream.range(0, SEEDS).mapToObj(seed -> new Object[] {seed}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void neverSpendsMoreThanTheLimitThroughDrills(int seed) {
        DrillSimulation simulation = run(seed, Design.COPIES);
        assertThat(simulation.drills()).as("drills").isPositive();
        assertThat(simulation.spent()).isLessThanOrEqualTo(DrillSimulation.LIMIT);
    }

    /** Guards against a simulation that no longer finds the fault. */
    @Test
    public void theSimulationOverspendsWithoutCopies() {
        for (Design design : new Design[] {Design.NONE, Design.LIVING}) {
            long overspent = IntStream.range(0, SEEDS)
                    .filter(seed -> run(seed, design).spent() > DrillSimulation.LIMIT)
                    .count();
            assertThat(overspent).as("runs that overspend with %s", design).isPositive();
        }
    }

    private static DrillSimulation run(int seed, Design design) {
        DrillSimulation simulation = new DrillSimulation(seed, design);
        for (int step = 0; step < STEPS; step++) {
            simulation.step();
        }
        return simulation;
    }
}
