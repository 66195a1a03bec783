package org.streamring.kernel.routing;

/** How a replica is chosen among those that take work. All but {@link #ADAPTIVE} are baselines for measurements. */
public enum RoutingStrategy {
    /** The lowest score of a few drawn at random; the strategy that is meant for use. */
    ADAPTIVE("adaptive"),
    /** The one with less reported load of two drawn at random. */
    LEAST_OF_TWO("least-of-two"),
    /** One after the other, by name. */
    ROUND_ROBIN("round-robin");

    private final String text;

    RoutingStrategy(String text) {
        this.text = text;
    }

    /** Name in settings and reports. */
    public String text() {
        return text;
    }

    /** The strategy of this name. */
    public static RoutingStrategy named(String text) {
        for (RoutingStrategy strategy : values()) {
            if (strategy.text.equals(text)) {
                return strategy;
            }
        }
        throw new IllegalArgumentException("no routing strategy is named " + text);
    }
}
