package org.streamring.standin.experiment;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.streamring.kernel.ledger.LedgerSettings;

/** Runs each ledger scenario with each set of ledger settings and prints a table for comparison. */
@Command(name = "measure", description = "Measure false refusals, overspend and store writes per fault; fixed seeds")
public final class MeasureCommand implements Runnable {
    private static final String FORMAT = "%-30s %-9s %9s %8s %8s %10s %9s %7s %5s %8s%n";

    @Option(name = "--csv", description = "File to write the table to as CSV")
    private String csv = "";

    @Option(name = "--seeds", description = "Number of seeds per row")
    private int seeds = 5;

    @Option(name = "--fixed-tokens", description = "Lease size of the baseline")
    private long fixedTokens = 10_000;

    @Override
    public void run() {
        List<ExperimentResult> results = measure();
        System.out.printf(
                FORMAT,
                "scenario",
                "settings",
                "requests",
                "false/k",
                "no-reach",
                "refused/k",
                "writes/k",
                "lag s",
                "over",
                "misbill");
        results.forEach(MeasureCommand::print);
        if (!csv.isEmpty()) {
            write(results);
        }
    }

    private List<ExperimentResult> measure() {
        Map<String, LedgerSettings> variants = new LinkedHashMap<>();
        variants.put("fixed", LedgerSettings.fixed(fixedTokens));
        variants.put("patient", LedgerSettings.patient());
        variants.put("prompt", LedgerSettings.prompt());
        List<ExperimentResult> results = new ArrayList<>();
        for (Scenario scenario : Scenario.all()) {
            variants.forEach((name, settings) -> results.add(run(scenario, name, settings)));
        }
        return results;
    }

    private ExperimentResult run(Scenario scenario, String name, LedgerSettings settings) {
        ExperimentResult total = new LedgerExperiment(scenario, name, settings, 1).run();
        for (int seed = 2; seed <= seeds; seed++) {
            total = total.plus(new LedgerExperiment(scenario, name, settings, seed).run());
        }
        return total;
    }

    private static void print(ExperimentResult result) {
        System.out.printf(
                Locale.ROOT,
                FORMAT,
                result.scenario(),
                result.variant(),
                result.requests(),
                "%.2f".formatted(result.falseRefusalsPerThousand()),
                "%.2f".formatted(1000.0 * result.outOfReach() / result.requests()),
                "%.1f".formatted(1000.0 * result.refusals() / result.requests()),
                "%.1f".formatted(result.transactionsPerThousand()),
                "%.1f".formatted(result.settleLagSeconds()),
                result.overspentTokens(),
                result.doubleBills() + result.unbilledTokens());
    }

    private void write(List<ExperimentResult> results) {
        List<String> lines = new ArrayList<>();
        lines.add("scenario,settings,requests,false_refusals,out_of_reach,refusals,"
                + "overspent,misbilled,double_bills,transactions,settle_lag_seconds");
        results.forEach(result -> lines.add(String.join(
                ",",
                result.scenario().replace(",", ";"),
                result.variant(),
                String.valueOf(result.requests()),
                String.valueOf(result.falseRefusals()),
                String.valueOf(result.outOfReach()),
                String.valueOf(result.refusals()),
                String.valueOf(result.overspentTokens()),
                String.valueOf(result.unbilledTokens()),
                String.valueOf(result.doubleBills()),
                String.valueOf(result.transactions()),
                "%.2f".formatted(result.settleLagSeconds()))));
        try {
            Files.write(Path.of(csv), lines);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
