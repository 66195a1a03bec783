package org.streamring.standin.model;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;

/** Simulates a scenario with several wait policies, using the same seeds for each, and prints a table. */
@Command(name = "load", description = "Compare wait policies in a simulation of engines and entries")
public final class LoadCommand implements Runnable {
    private static final int WRONG_ARGUMENTS = 2;

    @Option(name = "--scenario", description = "Scenario file (TOML), such as examples/load-calm.toml")
    @Required
    private String scenarioFile = "";

    @Option(name = "--seeds", description = "Number of simulation runs, each with its own seed")
    private int seeds = 20;

    @Option(name = "--compare", description = "Wait policies, separated by commas: fixed, refuse, forecast")
    private String compare = "fixed,refuse,forecast";

    @Override
    public void run() {
        List<WaitPolicyChoice> choices = choices();
        Scenario scenario = scenario();
        if (seeds < 1) {
            fail("--seeds must be above 0");
        }
        Map<String, List<LoadStatistics>> results = new LinkedHashMap<>();
        for (WaitPolicyChoice choice : choices) {
            System.err.println(
                    "running " + seeds + " simulations of " + scenario.name() + ", wait policy " + choice.name());
            results.put(choice.name(), simulate(scenario, choice));
        }
        System.out.print(new LoadTable(scenario, results).text());
    }

    private List<LoadStatistics> simulate(Scenario scenario, WaitPolicyChoice choice) {
        return LongStream.range(0, seeds)
                .parallel()
                .mapToObj(seed -> new LoadSimulation(scenario, choice, seed).run())
                .toList();
    }

    private List<WaitPolicyChoice> choices() {
        List<WaitPolicyChoice> choices = new ArrayList<>();
        for (String name : compare.split(",", -1)) {
            WaitPolicyChoice.named(name.trim())
                    .ifPresentOrElse(choices::add, () -> fail("--compare: unknown wait policy: " + name));
        }
        return choices;
    }

    private Scenario scenario() {
        try {
            return new ScenarioReader().read(Path.of(scenarioFile));
        } catch (ScenarioException e) {
            fail(e.getMessage());
            throw new IllegalStateException(e);
        }
    }

    private static void fail(String message) {
        System.err.println(message);
        System.exit(WRONG_ARGUMENTS);
    }
}
