package org.streamring.standin.experiment;

import java.util.List;

/**
 * Load and faults of a ledger experiment. Times are in seconds from the start.
 *
 * @param name name printed in the table of results
 * @param seconds length of the experiment
 * @param entries number of entries
 * @param budgetTokens tokens of the budget
 * @param requestsPerSecond request rate of all entries together
 * @param skew ratio of the request rate of an entry to that of the next one; 1 for equal rates
 * @param worstCase tokens reserved for a request
 * @param average mean number of tokens spent by a request
 * @param storeAway periods in which no entry can reach the table
 * @param cutOff periods in which the first entry can't reach the table
 * @param loseEvery n if the result of each n-th transaction is lost; 0 if none is lost
 * @param killed time at which the first entry is killed and replaced by a new incarnation; negative for never
 */
public record Scenario(
        String name,
        int seconds,
        int entries,
        long budgetTokens,
        double requestsPerSecond,
        double skew,
        long worstCase,
        long average,
        List<Span> storeAway,
        List<Span> cutOff,
        int loseEvery,
        int killed) {

    /**
     * A period of time.
     *
     * @param from start in seconds (inclusive)
     * @param until end in seconds (exclusive)
     */
    public record Span(int from, int until) {
        boolean contains(double seconds) {
            return seconds >= from && seconds < until;
        }
    }

    /** Creates a scenario with immutable copies of the lists. */
    public Scenario {
        storeAway = List.copyOf(storeAway);
        cutOff = List.copyOf(cutOff);
    }

    /** Returns all scenarios, in the order of the table of results. */
    public static List<Scenario> all() {
        long ample = 20_000_000;
        List<Span> none = List.of();
        List<Span> minute = List.of(new Span(120, 180));
        List<Span> twoMinutes = List.of(new Span(120, 240));
        List<Span> tenMinutes = List.of(new Span(120, 720));
        List<Span> untilEnd = List.of(new Span(120, 400));
        return List.of(
                scenario("calm", 600, ample, none, none, 0, -1),
                scenario("store away 1 min", 420, ample, minute, none, 0, -1),
                scenario("store away 2 min", 480, ample, twoMinutes, none, 0, -1),
                scenario("store away 10 min", 960, ample, tenMinutes, none, 0, -1),
                scenario("entry cut off 2 min", 480, ample, none, twoMinutes, 0, -1),
                scenario("answers lost (1 in 3)", 420, ample, none, none, 3, -1),
                scenario("store away, answers lost", 420, ample, minute, none, 3, -1),
                scenario("entry killed", 420, ample, none, none, 0, 150),
                scenario("entry killed, store away", 420, ample, minute, none, 0, 130),
                scenario("end of budget", 600, 700_000, none, none, 0, -1),
                scenario("end of budget, entry cut off", 600, 700_000, none, untilEnd, 0, -1),
                scenario("end of budget, answers lost", 600, 700_000, none, none, 3, -1));
    }

    private static Scenario scenario(
            String name, int seconds, long budget, List<Span> storeAway, List<Span> cutOff, int loseEvery, int killed) {
        return new Scenario(name, seconds, 6, budget, 4, 1.6, 1_200, 700, storeAway, cutOff, loseEvery, killed);
    }
}
