package org.streamring.standin.experiment.routing;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.streamring.standin.experiment.StreamTimes;

/** Statistics of the requests of a routing strategy in a scenario. Thread-safe. */
final class RoutingStatistics {
    private static final long MAX_MICROS = 600_000_000L;
    private static final double MICROS_PER_MILLI = 1000;

    private final Histogram firstTokenMicros = new Histogram(MAX_MICROS, 3);
    private final Histogram tokenGapMicros = new Histogram(MAX_MICROS, 3);
    private final Map<String, Integer> sent = new TreeMap<>();
    private final Map<String, Integer> refused = new TreeMap<>();
    private int brokenOff;
    private long cachedTokens;
    private long promptTokens;

    synchronized void add(RequestKind kind, StreamTimes times) {
        sent.merge(kind.name(), 1, Integer::sum);
        if (times.completed()) {
            addTimes(kind, times);
        } else if (times.refused()) {
            refused.merge(kind.name(), 1, Integer::sum);
        } else {
            brokenOff++;
        }
    }

    private void addTimes(RequestKind kind, StreamTimes times) {
        firstTokenMicros.recordValue(times.firstMicros());
        if (kind.answerTokens() > 1) {
            tokenGapMicros.recordValue(times.meanTokenMicros(kind.answerTokens()));
        }
    }

    /** Adds prompt tokens that the engines received, and those of them that were found in their caches. */
    synchronized void addPrompts(long read, long cached) {
        promptTokens += read;
        cachedTokens += cached;
    }

    static String header() {
        return "| scenario | strategy | sent | first token p50 / p95 / p99 ms | between tokens p50 / p95 / p99 ms |"
                + " refused urgent / normal / background % | broken % | prompt cached % |\n"
                + "| --- | --- | --- | --- | --- | --- | --- | --- |";
    }

    synchronized String row(String scenario, String strategy) {
        int total = sent.values().stream().mapToInt(Integer::intValue).sum();
        return String.format(
                Locale.ROOT,
                "| %s | %s | %d | %s | %s | %s / %s / %s | %s | %s |",
                scenario,
                strategy,
                total,
                percentiles(firstTokenMicros),
                percentiles(tokenGapMicros),
                refusedShare("diagnosis"),
                refusedShare("question"),
                refusedShare("tag"),
                percent(brokenOff, total),
                percent(cachedTokens, promptTokens));
    }

    private String refusedShare(String kind) {
        return percent(refused.getOrDefault(kind, 0), sent.getOrDefault(kind, 0));
    }

    private static String percent(long part, long whole) {
        return String.format(Locale.ROOT, "%.1f", whole == 0 ? 0 : 100.0 * part / whole);
    }

    private static String percentiles(Histogram histogram) {
        return String.format(
                Locale.ROOT,
                "%.0f / %.0f / %.0f",
                histogram.getValueAtPercentile(50) / MICROS_PER_MILLI,
                histogram.getValueAtPercentile(95) / MICROS_PER_MILLI,
                histogram.getValueAtPercentile(99) / MICROS_PER_MILLI);
    }
}
