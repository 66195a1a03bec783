package org.streamring.standin.experiment.routing;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.streamring.standin.experiment.StreamTimes;

/** What came of the requests of one strategy in one scenario. */
final class RoutingTally {
    private static final long MAX_MICROS = 600_000_000L;
    private static final double MICROS_PER_MILLI = 1000;

    private final Histogram first = new Histogram(MAX_MICROS, 3);
    private final Histogram gap = new Histogram(MAX_MICROS, 3);
    private final Map<String, Integer> sent = new TreeMap<>();
    private final Map<String, Integer> refused = new TreeMap<>();
    private int broken;
    private long cachedTokens;
    private long promptTokens;

    synchronized void add(RequestKind kind, StreamTimes call) {
        sent.merge(kind.name(), 1, Integer::sum);
        if (call.whole()) {
            addTimes(kind, call);
        } else if (call.refused()) {
            refused.merge(kind.name(), 1, Integer::sum);
        } else {
            broken++;
        }
    }

    private void addTimes(RequestKind kind, StreamTimes call) {
        first.recordValue(call.firstMicros());
        if (kind.answerTokens() > 1) {
            gap.recordValue(call.tokenMicros(kind.answerTokens()));
        }
    }

    /** Adds prompt tokens that the engines read, and those that they found in their caches. */
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
        int all = sent.values().stream().mapToInt(Integer::intValue).sum();
        return String.format(
                Locale.ROOT,
                "| %s | %s | %d | %s | %s | %s / %s / %s | %s | %s |",
                scenario,
                strategy,
                all,
                percentiles(first),
                percentiles(gap),
                refusedShare("diagnosis"),
                refusedShare("question"),
                refusedShare("tag"),
                percent(broken, all),
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
