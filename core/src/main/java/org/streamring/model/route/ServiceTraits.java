package org.streamring.model.route;

/**
 * What is known of a service's replicas.
 *
 * @param name name of the service
 * @param maxConnections connections that one replica accepts from all callers together
 * @param tokensPerEvent most tokens in one event of a stream; 0 for a plain service
 * @param memoryTokens tokens that one replica's memory holds; 0 for a plain service
 * @param coldPerSecond requests a second that a cold replica bears from all entries together; 0 for any number
 */
public record ServiceTraits(
        String name, int maxConnections, int tokensPerEvent, long memoryTokens, double coldPerSecond) {
    /** Whether the replicas are model engines. */
    public boolean isEngine() {
        return tokensPerEvent > 0;
    }
}
