package org.streamring.standin.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.streamring.standin.model.SilenceSimulation.Counts;
import org.streamring.standin.model.SilenceSimulation.Reaction;
import org.streamring.standin.model.SilenceSimulation.Runs;
import org.streamring.standin.model.SilenceSimulation.Silences;
import org.streamring.standin.model.SilenceSimulation.Way;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Compares ways to treat silent attempts; docs/design/silent-replicas.md holds the figures, which the test prints. */
public class SilenceSimulationTest {
    private static final int SEEDS = 8;
    private static final double EVERY_MILLIS = 8_000;
    private static final Way END = new Way("end, 1 s", Reaction.END, 1_000);
    private static final Way END_LATER = new Way("end, 2 s", Reaction.END, 2_000);
    private static final Way KEEP = new Way("keep, 1 s", Reaction.KEEP_UNTIL_SECOND, 1_000);
    private static final Way KEEP_LATER = new Way("keep, 2 s", Reaction.KEEP_UNTIL_SECOND, 2_000);
    private static final Way RACE = new Way("race, 1 s", Reaction.RACE, 1_000);
    private static final Way HOLD = new Way("hold for 0.3 s", Reaction.HOLD_BRIEFLY, 1_000);
    private static final Runs SHORT = new Runs(80, 0);
    private static final Runs SHORT_AND_BREAKING = new Runs(80, 0.05);
    private static final Runs LONG_AND_BREAKING = new Runs(600, 0.05);
    /** A stream of a second that falls silent for this long is over its timeout of four seconds. */
    private static final double LONG_SILENCE_MILLIS = 3_000;

    private static final Silences NONE = new Silences(0, 0, SilenceSimulation.DAY_MILLIS);

    @DataProvider
    public static Object[] silences() {
        return new Object[] {
            new Silences(500, 1, EVERY_MILLIS),
            new Silences(1_000, 1, EVERY_MILLIS),
            new Silences(1_500, 1, EVERY_MILLIS),
            new Silences(3_000, 1, EVERY_MILLIS),
            new Silences(-1, 1, EVERY_MILLIS),
            new Silences(500, 4, EVERY_MILLIS),
            new Silences(1_000, 4, EVERY_MILLIS),
            new Silences(1_500, 4, EVERY_MILLIS),
            new Silences(3_000, 4, EVERY_MILLIS),
            new Silences(-1, 4, EVERY_MILLIS)
        };
    }

    @Test(dataProvider = "silences")
    public void noAttemptThatIsKeptIsCutBesideReplicasThatContinueInTime(Silences silences) {
        Counts ended = play(END, silences);
        Counts kept = play(KEEP, silences);
        Counts keptLonger = play(KEEP_LATER, silences);
        print(silences, END, ended);
        print(silences, KEEP, kept);
        print(silences, RACE, play(RACE, silences));
        print(silences, END_LATER, play(END_LATER, silences));
        print(silences, KEEP_LATER, keptLonger);
        if (silences.forGood()) {
            assertThat(kept.inTime + kept.late).isGreaterThan(ended.inTime + ended.late - kept.asked / 1_000);
        } else if (silences.millis() < LONG_SILENCE_MILLIS) {
            assertThat(kept.cut).isZero();
            assertThat(keptLonger.cut).isZero();
        } else {
            assertThat(kept.cut).isLessThan(ended.cut);
        }
    }

    @DataProvider
    public static Object[][] silencesBesideBreakingRuns() {
        List<Silences> silences = List.of(
                new Silences(1_500, 1, EVERY_MILLIS),
                new Silences(-1, 1, EVERY_MILLIS),
                new Silences(1_500, 4, EVERY_MILLIS));
        return Stream.of(SHORT_AND_BREAKING, LONG_AND_BREAKING)
                .flatMap(runs -> silences.stream().map(each -> new Object[] {each, runs}))
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "silencesBesideBreakingRuns")
    public void aFirstAttemptThatIsHeldForAShortTimeDoesNotWorkTooLongBesideTheSecond(Silences silences, Runs runs) {
        Counts kept = play(KEEP, silences, runs);
        Counts held = play(HOLD, silences, runs);
        print(silences, runs, KEEP, kept);
        print(silences, runs, HOLD, held);
        print(silences, runs, RACE, play(RACE, silences, runs));
        assertThat(kept.formerStillWorking + held.formerStillWorking).isZero();
    }

    @Test
    public void withoutSilenceAllWaysAreAlike() {
        for (Way way : List.of(END, END_LATER, KEEP, KEEP_LATER, RACE)) {
            Counts calm = play(way, NONE);
            print(NONE, way, calm);
            assertThat(calm.inTime).isEqualTo(calm.asked);
            assertThat(calm.secondRuns).isZero();
        }
    }

    private static Counts play(Way way, Silences silences) {
        return play(way, silences, SHORT);
    }

    private static Counts play(Way way, Silences silences, Runs runs) {
        Counts sum = new Counts();
        for (int seed = 1; seed <= SEEDS; seed++) {
            sum.add(new SilenceSimulation(way, silences, runs, seed).run());
        }
        assertThat(sum.inTime + sum.late + sum.cut + sum.refused).isEqualTo(sum.asked);
        return sum;
    }

    private static void print(Silences silences, Way way, Counts counts) {
        print(silences, SHORT, way, counts);
    }

    private static void print(Silences silences, Runs runs, Way way, Counts counts) {
        System.out.printf(
                Locale.ROOT,
                "| %.0f | %.0f | %d | %s | %d | %d | %d | %.0f | %d | %d | %d | %d | %.0f |%n",
                runs.promptMillis(),
                silences.millis(),
                silences.replicas(),
                way.name(),
                counts.asked,
                counts.inTime,
                counts.late,
                counts.late == 0 ? 0 : counts.lateMillis / counts.late,
                counts.cut,
                counts.refused,
                counts.secondRuns,
                counts.formerStillWorking,
                counts.vainMillis / 1_000);
    }
}
