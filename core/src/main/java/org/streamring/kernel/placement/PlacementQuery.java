package org.streamring.kernel.placement;

import java.util.Set;

/**
 * A request that needs a replica.
 *
 * @param affinity what requests that begin alike have in common; empty if there is nothing
 * @param promptTokens tokens of the prompt; 0 for a plain request
 * @param rank urgency, 0 being the most urgent
 * @param failureDomain failure domain of this entry
 * @param excluded replicas that were tried already
 */
public record PlacementQuery(String affinity, long promptTokens, int rank, String failureDomain, Set<String> excluded) {
    /** Copies the set. */
    public PlacementQuery {
        excluded = Set.copyOf(excluded);
    }
}
