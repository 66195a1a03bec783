package org.streamring.kernel.placement;

import java.util.Optional;
import java.util.Set;
import org.streamring.kernel.registry.BackendInstance;

/**
 * Request for which a replica is to be chosen.
 *
 * @param prompt prompt of the request
 * @param rank urgency, 0 being the most urgent
 * @param firstEventMillis time within which the first event, or the answer, is expected
 * @param pauseMillis longest pause between events with which the stream is not yet late
 * @param failureDomain failure domain of this entry
 * @param excluded identifiers of replicas that were already tried
 * @param softwareVersion software version that the replica must have, if the request continues a stream
 */
public record PlacementQuery(
        Prompt prompt,
        int rank,
        long firstEventMillis,
        long pauseMillis,
        String failureDomain,
        Set<String> excluded,
        Optional<String> softwareVersion) {
    /** Copies the set. */
    public PlacementQuery {
        excluded = Set.copyOf(excluded);
    }

    /** Creates a query for a request that begins a new answer. */
    public PlacementQuery(
            Prompt prompt,
            int rank,
            long firstEventMillis,
            long pauseMillis,
            String failureDomain,
            Set<String> excluded) {
        this(prompt, rank, firstEventMillis, pauseMillis, failureDomain, excluded, Optional.empty());
    }

    /** Returns a query that excludes these replicas instead. */
    public PlacementQuery excluding(Set<String> replicas) {
        return new PlacementQuery(
                prompt, rank, firstEventMillis, pauseMillis, failureDomain, replicas, softwareVersion);
    }

    /** Whether a replica has the required software version. */
    public boolean matches(BackendInstance instance) {
        return softwareVersion.isEmpty() || softwareVersion.get().equals(instance.softwareVersion());
    }
}
