package org.streamring.kernel.routing;

import org.streamring.model.box.BackendServer;

/**
 * A replica that may be given a request.
 *
 * @param server backend server
 * @param incarnation incarnation of its sidecar
 * @param load attempts in progress over capacity, corrected for what this entry started since the last report
 * @param handicap factor of at least 1 by which it counts as busier, while it comes back after failures
 */
public record Candidate(BackendServer server, String incarnation, double load, double handicap) {
    /** Load as it counts in a choice. */
    public double cost() {
        return load * handicap;
    }
}
