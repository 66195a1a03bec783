package org.streamring.standin.experiment.routing;

import java.util.List;
import org.streamring.standin.engine.EngineFaults;

/**
 * Load and faults of a routing measurement.
 *
 * @param name name printed in the table of results
 * @param load ratio of the request rate to the capacity of the engines
 * @param fault fault of the first engine
 * @param cutDomain whether a failure domain is disconnected in the middle of each slice
 */
record RoutingScenario(String name, double load, EngineFaults fault, boolean cutDomain) {
    private static final int SLOW_FACTOR = 4;
    private static final int DIE_AFTER_TOKENS = 3;

    static List<RoutingScenario> all() {
        return List.of(
                new RoutingScenario("load 0.70", 0.7, EngineFaults.NONE, false),
                new RoutingScenario("load 0.95", 0.95, EngineFaults.NONE, false),
                new RoutingScenario("load 1.30", 1.3, EngineFaults.NONE, false),
                new RoutingScenario("one slow", 0.7, EngineFaults.slow(SLOW_FACTOR), false),
                new RoutingScenario("one breaks off", 0.7, EngineFaults.dying(DIE_AFTER_TOKENS), false),
                new RoutingScenario("one fails at once", 0.7, EngineFaults.failingAtOnce(), false),
                new RoutingScenario("a domain cut", 0.7, EngineFaults.NONE, true));
    }
}
