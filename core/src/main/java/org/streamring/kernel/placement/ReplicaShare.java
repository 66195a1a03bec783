package org.streamring.kernel.placement;

/**
 * One entry's part of a replica's load.
 *
 * @param running requests in progress
 * @param unreadTokens prompt tokens sent and not yet read
 * @param weightOfStreams requests in progress that a pause would make late, by weight
 * @param recentPauses long prompts sent in the last seconds, by how likely each made a pause that is too long
 */
public record ReplicaShare(int running, long unreadTokens, double weightOfStreams, double recentPauses) {
    /** Below this, a weight or a count of pauses makes no difference to a choice. */
    private static final double NEGLIGIBLE = 0.01;

    /** Whether the share is large enough to be told. */
    boolean matters() {
        return running > 0 || unreadTokens > 0 || weightOfStreams > NEGLIGIBLE || recentPauses > NEGLIGIBLE;
    }
}
