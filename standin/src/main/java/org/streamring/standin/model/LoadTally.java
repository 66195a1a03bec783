package org.streamring.standin.model;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/** What became of the calls of one day. */
final class LoadTally {
    private static final int SLICE_MILLIS = 2_000;

    private final Map<String, Map<Call.Outcome, Integer>> byKind = new HashMap<>();
    private final double[] owed;
    private final double[] earned;
    private long refusals;
    private double heldBeforeRefusal;
    private int coldOverloads;
    private long tokensRead;

    LoadTally(int seconds) {
        int slices = seconds * 1_000 / SLICE_MILLIS + 1;
        owed = new double[slices];
        earned = new double[slices];
    }

    void ended(Call call, Call.Outcome outcome) {
        byKind.computeIfAbsent(call.kind().name(), name -> new EnumMap<>(Call.Outcome.class))
                .merge(outcome, 1, Integer::sum);
        int slice = Math.min(owed.length - 1, (int) (call.firstTryMillis() / SLICE_MILLIS));
        owed[slice] += call.kind().worth();
        earned[slice] += worth(call, outcome);
    }

    private static double worth(Call call, Call.Outcome outcome) {
        return switch (outcome) {
            case IN_TIME -> call.kind().worth();
            case LATE -> call.kind().lateWorth();
            default -> 0;
        };
    }

    /** Notes a try that an entry refused, after holding it for a while. */
    void refusedTry(double heldMillis) {
        refusals++;
        heldBeforeRefusal += heldMillis;
    }

    /** Notes that a cold replica fell over. */
    void coldOverload() {
        coldOverloads++;
    }

    void tokensRead(long tokens) {
        tokensRead += tokens;
    }

    /** Part of the worth that was earned. */
    double worth() {
        return Arrays.stream(earned).sum() / Math.max(1e-9, Arrays.stream(owed).sum());
    }

    /** The same of the two seconds in which least was. */
    double worstSlice() {
        double worst = 1;
        for (int slice = 0; slice < owed.length; slice++) {
            if (owed[slice] > 0) {
                worst = Math.min(worst, earned[slice] / owed[slice]);
            }
        }
        return worst;
    }

    /** Part of a kind's calls that ended so. */
    double share(String kind, Call.Outcome outcome) {
        Map<Call.Outcome, Integer> counts = byKind.getOrDefault(kind, Map.of());
        int all = counts.values().stream().mapToInt(Integer::intValue).sum();
        return counts.getOrDefault(outcome, 0) / (double) Math.max(1, all);
    }

    /** Tries that entries refused. */
    long refusals() {
        return refusals;
    }

    /** Mean time for which a refused try was held, in milliseconds. */
    double heldMillis() {
        return heldBeforeRefusal / Math.max(1, refusals);
    }

    int coldOverloads() {
        return coldOverloads;
    }

    /** Prompt tokens that engines read, kept ones left out. */
    long tokensRead() {
        return tokensRead;
    }
}
