package org.streamring.standin.model;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/** Statistics of the calls of a simulation run. */
final class LoadStatistics {
    private static final int SLICE_MILLIS = 2_000;

    private final Map<String, Map<Call.Outcome, Integer>> byKind = new HashMap<>();
    private final double[] possibleWorth;
    private final double[] earnedWorth;
    private long refusals;
    private double totalWaitBeforeRefusalMillis;
    private int coldOverloads;
    private long tokensRead;

    LoadStatistics(int seconds) {
        int slices = seconds * 1_000 / SLICE_MILLIS + 1;
        possibleWorth = new double[slices];
        earnedWorth = new double[slices];
    }

    void recordOutcome(Call call, Call.Outcome outcome) {
        byKind.computeIfAbsent(call.kind().name(), name -> new EnumMap<>(Call.Outcome.class))
                .merge(outcome, 1, Integer::sum);
        int slice = Math.min(possibleWorth.length - 1, (int) (call.firstTryMillis() / SLICE_MILLIS));
        possibleWorth[slice] += call.kind().worth();
        earnedWorth[slice] += worth(call, outcome);
    }

    private static double worth(Call call, Call.Outcome outcome) {
        return switch (outcome) {
            case IN_TIME -> call.kind().worth();
            case LATE -> call.kind().lateWorth();
            default -> 0;
        };
    }

    /** Records a try that an entry refused after it had waited there for the given time. */
    void recordRefusal(double waitedMillis) {
        refusals++;
        totalWaitBeforeRefusalMillis += waitedMillis;
    }

    /** Records that a cold replica was overloaded. */
    void recordColdOverload() {
        coldOverloads++;
    }

    void addTokensRead(long tokens) {
        tokensRead += tokens;
    }

    /** Returns the earned fraction of the possible worth. */
    double worth() {
        return Arrays.stream(earnedWorth).sum()
                / Math.max(1e-9, Arrays.stream(possibleWorth).sum());
    }

    /** Returns the smallest earned fraction of the possible worth in any slice of two seconds. */
    double worstSlice() {
        double worst = 1;
        for (int slice = 0; slice < possibleWorth.length; slice++) {
            if (possibleWorth[slice] > 0) {
                worst = Math.min(worst, earnedWorth[slice] / possibleWorth[slice]);
            }
        }
        return worst;
    }

    /** Returns the fraction of the calls of a kind that ended with the given outcome. */
    double share(String kind, Call.Outcome outcome) {
        Map<Call.Outcome, Integer> counts = byKind.getOrDefault(kind, Map.of());
        int all = counts.values().stream().mapToInt(Integer::intValue).sum();
        return counts.getOrDefault(outcome, 0) / (double) Math.max(1, all);
    }

    /** Returns the number of tries that entries refused. */
    long refusals() {
        return refusals;
    }

    /** Returns the mean time in milliseconds that a refused try had waited at its entry. */
    double meanWaitBeforeRefusalMillis() {
        return totalWaitBeforeRefusalMillis / Math.max(1, refusals);
    }

    int coldOverloads() {
        return coldOverloads;
    }

    /** Returns the number of prompt tokens read by engines, without the cached ones. */
    long tokensRead() {
        return tokensRead;
    }
}
