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

/** Plays a scenario in simulated time by two or more ways of deciding, on the same seeds, and prints a table. */
@Command(name = "load", description = "Compare ways of deciding on a model of engines and entries, in simulated time")
public final class LoadCommand implements Runnable {
    private static final int WRONG_ARGUMENTS = 2;

    @Option(name = "--scenario", description = "Scenario file (TOML), such as examples/load-calm.toml")
    @Required
    private String scenarioFile = "";

    @Option(name = "--seeds", description = "Days to play, each with a seed of its own")
    private int seeds = 20;

    @Option(name = "--compare", description = "Ways, separated by commas: fixed, refuse, forecast")
    private String compare = "fixed,refuse,forecast";

    @Override
    public void run() {
        List<Way> ways = ways();
        Scenario scenario = scenario();
        if (seeds < 1) {
            fail("--seeds must be above 0");
        }
        Map<String, List<LoadTally>> results = new LinkedHashMap<>();
        for (Way way : ways) {
            System.err.println("playing " + seeds + " days of " + scenario.name() + ", way " + way.name());
            results.put(way.name(), play(scenario, way));
        }
        System.out.print(new LoadTable(scenario, results).text());
    }

    private List<LoadTally> play(Scenario scenario, Way way) {
        return LongStream.range(0, seeds)
                .parallel()
                .mapToObj(seed -> new LoadDay(scenario, way, seed).play())
                .toList();
    }

    private List<Way> ways() {
        List<Way> ways = new ArrayList<>();
        for (String name : compare.split(",", -1)) {
            Way.named(name.trim()).ifPresentOrElse(ways::add, () -> fail("--compare names no way: " + name));
        }
        return ways;
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
