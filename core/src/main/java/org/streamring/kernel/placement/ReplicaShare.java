package org.streamring.kernel.placement;

/**
 * Part of the load of a replica that is caused by one entry.
 *
 * @param running number of requests in progress
 * @param pendingPromptTokens prompt tokens sent to the replica and not yet processed
 * @param weightOfStreams total weight of the requests in progress that a pause would make late
 * @param recentPauses expected number of overlong pauses that prompts of the last seconds cause for other streams
 */
public record ReplicaShare(int running, long pendingPromptTokens, double weightOfStreams, double recentPauses) {
    /** Weights and pause counts below this value do not affect the choice of a replica. */
    private static final double NEGLIGIBLE = 0.01;

    /** Returns whether the share is large enough to be reported. */
    boolean isSignificant() {
        return running > 0 || pendingPromptTokens > 0 || weightOfStreams > NEGLIGIBLE || recentPauses > NEGLIGIBLE;
    }
}
