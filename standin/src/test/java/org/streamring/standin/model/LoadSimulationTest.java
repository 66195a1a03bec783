package org.streamring.standin.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.nio.file.Path;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

public class LoadSimulationTest {
    private static final Path EXAMPLES = Path.of("..", "examples");
    private static final int SEEDS = 4;

    private Scenario calm;
    private Scenario worst;

    @BeforeClass
    public void read() throws ScenarioException {
        calm = new ScenarioReader().read(EXAMPLES.resolve("load-calm.toml"));
        worst = new ScenarioReader().read(EXAMPLES.resolve("load-worst.toml"));
    }

    @Test
    public void theSameSeedGivesTheSameDay() {
        LoadStatistics first = new LoadSimulation(calm, choice("fixed"), 7).run();
        LoadStatistics second = new LoadSimulation(calm, choice("fixed"), 7).run();
        assertThat(first.worth()).isEqualTo(second.worth());
        assertThat(first.tokensRead()).isEqualTo(second.tokensRead());
    }

    @Test
    public void everyCallEndsOnce() {
        LoadStatistics run = new LoadSimulation(worst, choice("fixed"), 1).run();
        for (Scenario.Kind kind : worst.kinds()) {
            double sum = 0;
            for (Call.Outcome outcome : Call.Outcome.values()) {
                sum += run.share(kind.name(), outcome);
            }
            assertThat(sum).as(kind.name()).isCloseTo(1, within(1e-9));
        }
    }

    @Test
    public void faultsAndBurstsReduceWorth() {
        assertThat(mean(worst, "fixed", LoadStatistics::worstSlice)).isLessThan(0.85);
        Scenario without = new Scenario(
                "quiet",
                worst.seconds(),
                worst.fleet(),
                worst.engines(),
                worst.plain(),
                worst.accounts(),
                worst.kinds(),
                List.of(),
                List.of());
        assertThat(mean(without, "fixed", LoadStatistics::worth))
                .isGreaterThan(mean(worst, "fixed", LoadStatistics::worth));
    }

    /** A third of 38 engines restarts cold at the same time under 190 prompts/s; each tolerates 20 in a second. */
    @Test
    public void noColdReplicaIsOverloaded() {
        assertThat(mean(worst, "fixed", run -> run.coldOverloads())).isZero();
    }

    /**
     * All callers of a busy account use one entry. With the fixed window, plain calls that found no slot there waited
     * for 80 ms and were asked to retry after 250 ms. If they are refused at once and retry after 20 ms, other entries
     * serve more of them in time.
     */
    @Test
    public void plainCallsAreInTimeMoreOftenIfRefusedAtOnce() {
        double held = mean(calm, "fixed", run -> run.share("report", Call.Outcome.IN_TIME));
        double atOnce = mean(calm, "refuse", run -> run.share("report", Call.Outcome.IN_TIME));
        assertThat(atOnce).isGreaterThan(held + 0.005);
    }

    private static double mean(Scenario scenario, String choice, ToDoubleFunction<LoadStatistics> figure) {
        return LongStream.range(0, SEEDS)
                .parallel()
                .mapToObj(seed -> new LoadSimulation(scenario, choice(choice), seed).run())
                .mapToDouble(figure)
                .average()
                .orElseThrow();
    }

    private static WaitPolicyChoice choice(String name) {
        return WaitPolicyChoice.named(name).orElseThrow();
    }
}
