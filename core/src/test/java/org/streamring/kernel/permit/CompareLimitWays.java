package org.streamring.kernel.permit;

import java.util.Locale;
import org.streamring.kernel.permit.LimitSimulation.Division;

/** Compares the strategies for dividing limits in the same simulations and prints the results; run manually. */
public final class CompareLimitWays {
    private CompareLimitWays() {}

    /** Runs the simulations; the first argument is the number of runs of each kind. */
    public static void main(String[] arguments) {
        int runs = Integer.parseInt(arguments[0]);
        for (int entries : new int[] {2, 6, 33, 300}) {
            int runsOfSize = entries > 100 ? Math.max(1, runs / 10) : runs;
            for (boolean withFaults : new boolean[] {false, true}) {
                for (Division division : Division.values()) {
                    report(division, entries, runsOfSize, withFaults);
                }
            }
        }
    }

    private static void report(Division division, int entries, int runs, boolean withFaults) {
        int breaches = 0;
        int runsWithBreaches = 0;
        long served = 0;
        long refused = 0;
        long frames = 0;
        double used = 0;
        for (int seed = 0; seed < runs; seed++) {
            LimitSimulation simulation =
                    new LimitSimulation(seed, division, entries, 30 + 2 * entries, seed % 2 == 0).run(withFaults);
            breaches += simulation.breaches().size();
            runsWithBreaches += simulation.breaches().isEmpty() ? 0 : 1;
            served += simulation.served();
            refused += simulation.refused();
            frames += simulation.frames();
            used += simulation.used() / runs;
        }
        System.out.printf(
                Locale.ROOT,
                "%d entries, %s, %s: used %.2f, served %d, refused %d, over the limit %d in %d of %d runs, "
                        + "frames per second %.1f%n",
                entries,
                withFaults ? "with faults" : "without faults",
                division,
                used,
                served,
                refused,
                breaches,
                runsWithBreaches,
                runs,
                frames / 60.0 / runs);
    }
}
