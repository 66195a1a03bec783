package org.streamring.kernel.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.LongStream;
import org.streamring.kernel.prepaid.RunSimulation.Result;
import org.streamring.kernel.prepaid.RunSimulation.Way;
import org.testng.annotations.Test;

/** What replicas generate over all runs of the requests of an account, until it is used up. */
public class RunsOfOneRequestTest {
    private static final long SEEDS = Long.getLong("runs.seeds", 300);

    @Test
    public void noRunGeneratesTokensThatWereNotPrepaid() {
        assertThat(play(Way.EACH_RUN))
                .allSatisfy(each -> assertThat(each.worstExcess()).isNotPositive());
    }

    @Test
    public void theSimulationFindsTokensThatWereNotPrepaid() {
        assertThat(play(Way.ONE_MAXIMUM)).anyMatch(each -> each.worstExcess() > 0);
        assertThat(play(Way.ONE_MAXIMUM_AND_DEBT)).anyMatch(each -> each.worstExcess() > 0);
    }

    @Test
    public void tokensForAllRunsAtFirstSufficeAsWell() {
        assertThat(play(Way.ALL_RUNS_AT_FIRST))
                .allSatisfy(each -> assertThat(each.worstExcess()).isNotPositive());
    }

    private static List<Result> play(Way way) {
        List<Result> results = LongStream.range(0, SEEDS)
                .mapToObj(seed -> new RunSimulation(seed, way).simulate())
                .toList();
        System.out.printf(
                "%s: %d of %d seeds beyond the limit, by %d at most; handed out %d; retries without tokens %d of %d%n",
                way,
                results.stream().filter(each -> each.worstExcess() > 0).count(),
                results.size(),
                results.stream().mapToLong(Result::worstExcess).max().orElse(0),
                results.stream().mapToLong(Result::handedOut).sum(),
                results.stream().mapToLong(Result::refusedRetries).sum(),
                results.stream().mapToLong(Result::retries).sum());
        return results;
    }
}
