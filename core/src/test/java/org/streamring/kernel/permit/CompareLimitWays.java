package org.streamring.kernel.permit;

import java.util.Locale;
import org.streamring.kernel.permit.LimitFleet.Division;

/** Prints how ways to divide limits do on the same days; started by hand. */
public final class CompareLimitWays {
    private CompareLimitWays() {}

    /** Plays; the first argument is the number of days of each kind. */
    public static void main(String[] arguments) {
        int days = Integer.parseInt(arguments[0]);
        for (int entries : new int[] {2, 6, 33, 300}) {
            int played = entries > 100 ? Math.max(1, days / 10) : days;
            for (boolean trouble : new boolean[] {false, true}) {
                for (Division division : Division.values()) {
                    report(division, entries, played, trouble);
                }
            }
        }
    }

    private static void report(Division division, int entries, int days, boolean trouble) {
        int broken = 0;
        int brokenDays = 0;
        long served = 0;
        long refused = 0;
        long frames = 0;
        double used = 0;
        for (int seed = 0; seed < days; seed++) {
            LimitFleet day = new LimitFleet(seed, division, entries, 30 + 2 * entries, seed % 2 == 0).play(trouble);
            broken += day.breaches().size();
            brokenDays += day.breaches().isEmpty() ? 0 : 1;
            served += day.served();
            refused += day.refused();
            frames += day.frames();
            used += day.used() / days;
        }
        System.out.printf(
                Locale.ROOT,
                "%d entries, %s, %s: used %.2f, served %d, refused %d, beyond %d on %d of %d days, "
                        + "frames a second %.1f%n",
                entries,
                trouble ? "trouble" : "calm",
                division,
                used,
                served,
                refused,
                broken,
                brokenDays,
                days,
                frames / 60.0 / days);
    }
}
