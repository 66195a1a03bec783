package org.streamring.standin.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.nio.file.Path;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

public class LoadDayTest {
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
        LoadTally first = new LoadDay(calm, way("fixed"), 7).play();
        LoadTally second = new LoadDay(calm, way("fixed"), 7).play();
        assertThat(first.worth()).isEqualTo(second.worth());
        assertThat(first.tokensRead()).isEqualTo(second.tokensRead());
    }

    @Test
    public void everyCallEndsOnce() {
        LoadTally day = new LoadDay(worst, way("fixed"), 1).play();
        for (Scenario.Kind kind : worst.kinds()) {
            double sum = 0;
            for (Call.Outcome outcome : Call.Outcome.values()) {
                sum += day.share(kind.name(), outcome);
            }
            assertThat(sum).as(kind.name()).isCloseTo(1, within(1e-9));
        }
    }

    @Test
    public void faultsAndBurstsCostWorth() {
        assertThat(mean(worst, "fixed", LoadTally::worstSlice)).isLessThan(0.85);
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
        assertThat(mean(without, "fixed", LoadTally::worth)).isGreaterThan(mean(worst, "fixed", LoadTally::worth));
    }

    /** A third of 38 engines is back cold at once, with 190 prompts a second; each bears 20 in a second. */
    @Test
    public void noColdReplicaFallsOver() {
        assertThat(mean(worst, "fixed", day -> day.coldOverloads())).isZero();
    }

    /**
     * One entry gets a busy account's callers. Its plain calls that found no place were held for 80 ms and told to come
     * back after 250; turned away at once, with 20 ms, more of them are served in time by other entries.
     */
    @Test
    public void plainCallsAreInTimeMoreOftenIfTurnedAwayAtOnce() {
        double held = mean(calm, "fixed", day -> day.share("report", Call.Outcome.IN_TIME));
        double atOnce = mean(calm, "refuse", day -> day.share("report", Call.Outcome.IN_TIME));
        assertThat(atOnce).isGreaterThan(held + 0.005);
    }

    private static double mean(Scenario scenario, String way, ToDoubleFunction<LoadTally> figure) {
        return LongStream.range(0, SEEDS)
                .parallel()
                .mapToObj(seed -> new LoadDay(scenario, way(way), seed).play())
                .mapToDouble(figure)
                .average()
                .orElseThrow();
    }

    private static Way way(String name) {
        return Way.named(name).orElseThrow();
    }
}
