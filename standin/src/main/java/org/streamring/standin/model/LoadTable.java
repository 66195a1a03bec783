package org.streamring.standin.model;

import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** The results of some ways as a table: means over the seeds, and the spread of the worth. */
final class LoadTable {
    private final Scenario scenario;
    private final Map<String, List<LoadTally>> results;

    LoadTable(Scenario scenario, Map<String, List<LoadTally>> results) {
        this.scenario = scenario;
        this.results = results;
    }

    String text() {
        StringBuilder text = new StringBuilder();
        text.append(row("way", "worth", "least..most", "worst 2 s", "refusals", "held ms", "read k", "cold over"));
        results.forEach((way, days) -> text.append(row(way, days)));
        text.append('\n').append(kindRow("way", "kind", "in time", "late", "refused", "failed"));
        results.forEach((way, days) -> scenario.kinds().forEach(kind -> text.append(kindRow(way, kind.name(), days))));
        return text.toString();
    }

    private static String row(String way, List<LoadTally> days) {
        DoubleSummaryStatistics worth =
                days.stream().mapToDouble(LoadTally::worth).summaryStatistics();
        return row(
                way,
                number("%.3f", worth.getAverage()),
                number("%.3f", worth.getMin()) + ".." + number("%.3f", worth.getMax()),
                number("%.3f", mean(days, LoadTally::worstSlice)),
                number("%.0f", mean(days, LoadTally::refusals)),
                number("%.0f", mean(days, LoadTally::heldMillis)),
                number("%.0f", mean(days, day -> day.tokensRead() / 1_000.0)),
                number("%.1f", mean(days, LoadTally::coldOverloads)));
    }

    private static String kindRow(String way, String kind, List<LoadTally> days) {
        return kindRow(
                way,
                kind,
                number("%.3f", mean(days, day -> day.share(kind, Call.Outcome.IN_TIME))),
                number("%.3f", mean(days, day -> day.share(kind, Call.Outcome.LATE))),
                number("%.3f", mean(days, day -> day.share(kind, Call.Outcome.REFUSED))),
                number("%.3f", mean(days, day -> day.share(kind, Call.Outcome.FAILED))));
    }

    private static String row(String... cells) {
        return String.format(Locale.ROOT, "%-10s %8s %14s %10s %9s %8s %8s %10s%n", (Object[]) cells);
    }

    private static String kindRow(String... cells) {
        return String.format(Locale.ROOT, "%-10s %-18s %8s %8s %8s %8s%n", (Object[]) cells);
    }

    private static double mean(List<LoadTally> days, ToDoubleFunction<LoadTally> figure) {
        return days.stream().mapToDouble(figure).average().orElse(0);
    }

    private static String number(String format, double value) {
        return String.format(Locale.ROOT, format, value);
    }
}
