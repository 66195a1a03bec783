package org.streamring.kernel.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.LongStream;
import org.streamring.kernel.limit.RetrySimulation.Result;
import org.streamring.kernel.limit.RetrySimulation.Way;
import org.testng.annotations.Test;

/** Retries of all entries through restarts in series, entries that are cut off, and retries that wait. */
public class RetriesUnderFaultsTest {
    private static final long SEEDS = Long.getLong("retries.seeds", 300);

    @Test
    public void retriesOfAllEntriesStayWithinTheLimit() {
        List<Result> results = play(Way.NO_SLACK_AT_START);
        assertThat(results).allSatisfy(each -> assertThat(each.worstExcess()).isNotPositive());
    }

    @Test
    public void callersOfAProcessThatHasJustStartedAreGrantedRetries() {
        List<Result> results = play(Way.NO_SLACK_AT_START);
        long wanted = results.stream().mapToLong(Result::wantedAfterStart).sum();
        long sent = results.stream().mapToLong(Result::sentAfterStart).sum();
        assertThat(sent / (double) wanted).isGreaterThan(RetrySimulation.RATIO / 2);
    }

    @Test
    public void theSimulationFindsRetriesBeyondTheLimit() {
        assertThat(play(Way.SHARE_OF_EACH_PROCESS)).anyMatch(each -> each.worstExcess() > 0);
    }

    @Test
    public void aBudgetThatOthersKeepStaysWithinTheLimit() {
        assertThat(play(Way.TOLD_BY_OTHERS))
                .allSatisfy(each -> assertThat(each.worstExcess()).isNotPositive());
    }

    private static List<Result> play(Way way) {
        List<Result> results = LongStream.range(0, SEEDS)
                .mapToObj(seed -> new RetrySimulation(seed, way).simulate())
                .toList();
        report(way, results);
        return results;
    }

    private static void report(Way way, List<Result> results) {
        System.out.printf(
                "%s: %d of %d seeds beyond the limit, worst by %.1f; sent %d of %d, after a start %d of %d%n",
                way,
                results.stream().filter(each -> each.worstExcess() > 0).count(),
                results.size(),
                results.stream().mapToDouble(Result::worstExcess).max().orElse(0),
                results.stream().mapToLong(Result::sent).sum(),
                results.stream().mapToLong(Result::wanted).sum(),
                results.stream().mapToLong(Result::sentAfterStart).sum(),
                results.stream().mapToLong(Result::wantedAfterStart).sum());
    }
}
