package org.streamring.kernel.routing;

/**
 * Strategy for choosing among the replicas that accept new attempts. All except {@link #ADAPTIVE} are baselines for
 * measurements.
 */
public enum RoutingStrategy {
    /** Chooses the lowest score among a few replicas picked at random; the strategy for production use. */
    ADAPTIVE("adaptive"),
    /** Chooses the replica with the lower reported load of two picked at random. */
    LEAST_OF_TWO("least-of-two"),
    /** Chooses the replicas in turn, ordered by name. */
    ROUND_ROBIN("round-robin");

    private final String text;

    RoutingStrategy(String text) {
        this.text = text;
    }

    /** Returns the name used in settings and reports. */
    public String text() {
        return text;
    }

    /** Returns the strategy with the given name. */
    public static RoutingStrategy named(String text) {
        for (RoutingStrategy strategy : values()) {
            if (strategy.text.equals(text)) {
                return strategy;
            }
        }
        throw new IllegalArgumentException("unknown routing strategy: " + text);
    }
}
