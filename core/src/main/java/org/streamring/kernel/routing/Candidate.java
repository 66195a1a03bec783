package org.streamring.kernel.routing;

import org.streamring.kernel.limit.RankLimit;
import org.streamring.model.box.BackendServer;

/**
 * A replica that may be given a request.
 *
 * @param server backend server
 * @param incarnation incarnation of its sidecar
 * @param running attempts in progress, as last reported and corrected for what this entry started since then
 * @param capacity most attempts that it takes
 * @param handicap factor of at least 1 by which it counts as busier: while it comes back after failures, or as it is
 *     slower than others
 */
public record Candidate(BackendServer server, String incarnation, int running, int capacity, double handicap) {
    /** Attempts in progress over capacity. */
    public double load() {
        return running / (double) Math.max(1, capacity);
    }

    /** Load with one more attempt, as it counts in a choice. */
    public double cost() {
        return (running + 1) / (double) Math.max(1, capacity) * handicap;
    }

    /** Whether it is believed to take one more attempt of a rank. */
    public boolean hasRoom(int rank) {
        return running < RankLimit.of(capacity, rank);
    }
}
