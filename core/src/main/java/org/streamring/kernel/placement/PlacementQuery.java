package org.streamring.kernel.placement;

import java.util.Set;

/**
 * Request for which a replica is to be chosen.
 *
 * @param prompt prompt of the request
 * @param rank urgency, 0 being the most urgent
 * @param firstEventMillis time within which the first event, or the answer, is expected
 * @param pauseMillis longest pause between events with which the stream is not yet late
 * @param failureDomain failure domain of this entry
 * @param excluded identifiers of replicas that were already tried
 */
public record PlacementQuery(
        Prompt prompt, int rank, long firstEventMillis, long pauseMillis, String failureDomain, Set<String> excluded) {
    /** Copies the set. */
    public PlacementQuery {
        excluded = Set.copyOf(excluded);
    }
}
