package org.streamring.standin.model;

import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** Formats the results of wait policies as a table with the means over the seeds and the range of the worth. */
final class LoadTable {
    private final Scenario scenario;
    private final Map<String, List<LoadStatistics>> results;

    LoadTable(Scenario scenario, Map<String, List<LoadStatistics>> results) {
        this.scenario = scenario;
        this.results = results;
    }

    String text() {
        StringBuilder text = new StringBuilder();
        text.append(row("way", "worth", "least..most", "worst 2 s", "refusals", "held ms", "read k", "cold over"));
        results.forEach((policy, runs) -> text.append(row(policy, runs)));
        text.append('\n').append(kindRow("way", "kind", "in time", "late", "refused", "failed"));
        results.forEach(
                (policy, runs) -> scenario.kinds().forEach(kind -> text.append(kindRow(policy, kind.name(), runs))));
        return text.toString();
    }

    private static String row(String policy, List<LoadStatistics> runs) {
        DoubleSummaryStatistics worth =
                runs.stream().mapToDouble(LoadStatistics::worth).summaryStatistics();
        return row(
                policy,
                number("%.3f", worth.getAverage()),
                number("%.3f", worth.getMin()) + ".." + number("%.3f", worth.getMax()),
                number("%.3f", mean(runs, LoadStatistics::worstSlice)),
                number("%.0f", mean(runs, LoadStatistics::refusals)),
                number("%.0f", mean(runs, LoadStatistics::meanWaitBeforeRefusalMillis)),
                number("%.0f", mean(runs, run -> run.tokensRead() / 1_000.0)),
                number("%.1f", mean(runs, LoadStatistics::coldOverloads)));
    }

    private static String kindRow(String policy, String kind, List<LoadStatistics> runs) {
        return kindRow(
                policy,
                kind,
                number("%.3f", mean(runs, run -> run.share(kind, Call.Outcome.IN_TIME))),
                number("%.3f", mean(runs, run -> run.share(kind, Call.Outcome.LATE))),
                number("%.3f", mean(runs, run -> run.share(kind, Call.Outcome.REFUSED))),
                number("%.3f", mean(runs, run -> run.share(kind, Call.Outcome.FAILED))));
    }

    private static String row(String... cells) {
        return String.format(Locale.ROOT, "%-10s %8s %14s %10s %9s %8s %8s %10s%n", (Object[]) cells);
    }

    private static String kindRow(String... cells) {
        return String.format(Locale.ROOT, "%-10s %-18s %8s %8s %8s %8s%n", (Object[]) cells);
    }

    private static double mean(List<LoadStatistics> runs, ToDoubleFunction<LoadStatistics> figure) {
        return runs.stream().mapToDouble(figure).average().orElse(0);
    }

    private static String number(String format, double value) {
        return String.format(Locale.ROOT, format, value);
    }
}
