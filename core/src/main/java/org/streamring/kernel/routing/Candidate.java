package org.streamring.kernel.routing;

import org.streamring.kernel.limit.RankLimit;
import org.streamring.model.box.BackendServer;

/**
 * A replica to which a request may be sent.
 *
 * @param server backend server
 * @param incarnation incarnation of its sidecar
 * @param running attempts in progress, as last reported, plus those that this entry has started since then
 * @param capacity maximum number of concurrent attempts at the replica
 * @param handicap factor of at least 1 by which the cost of the replica is multiplied; above 1 while it recovers from
 *     an ejection or if it is slower than other replicas
 */
public record Candidate(BackendServer server, String incarnation, int running, int capacity, double handicap) {
    /** Returns the attempts in progress divided by the capacity. */
    public double load() {
        return running / (double) Math.max(1, capacity);
    }

    /** Returns the load with one more attempt, multiplied by the handicap; used to compare candidates. */
    public double cost() {
        return (running + 1) / (double) Math.max(1, capacity) * handicap;
    }

    /** Returns whether the replica, by its last reported load, accepts one more attempt of the given rank. */
    public boolean hasRoom(int rank) {
        return running < RankLimit.of(capacity, rank);
    }
}
