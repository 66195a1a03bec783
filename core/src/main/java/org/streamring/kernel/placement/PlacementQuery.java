package org.streamring.kernel.placement;

import java.util.Set;

/**
 * A request that needs a replica.
 *
 * @param prompt its prompt
 * @param rank urgency, 0 being the most urgent
 * @param firstEventMillis time within which the first event, or the answer, is expected
 * @param pauseMillis longest pause between events that is still in time
 * @param failureDomain failure domain of this entry
 * @param excluded replicas that were tried already
 */
public record PlacementQuery(
        Prompt prompt, int rank, long firstEventMillis, long pauseMillis, String failureDomain, Set<String> excluded) {
    /** Copies the set. */
    public PlacementQuery {
        excluded = Set.copyOf(excluded);
    }
}
