package org.streamring.model.route;

/**
 * Properties that all replicas of a service have in common.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections that one replica accepts from all clients together
 * @param tokensPerEvent maximum number of tokens in one event of a stream; 0 for a plain service
 * @param memoryTokens number of tokens that fit into the memory of one replica; 0 for a plain service
 * @param coldPerSecond maximum rate of requests per second that a cold replica can handle from all entries together; 0
 *     for no limit
 */
public record ServiceTraits(
        String name, int maxConnections, int tokensPerEvent, long memoryTokens, double coldPerSecond) {
    /** Returns whether the replicas are model engines. */
    public boolean isEngine() {
        return tokensPerEvent > 0;
    }
}
