package org.streamring.kernel.routing;

import org.streamring.model.box.BackendServer;

/**
 * A replica that may be given a request.
 *
 * @param server backend server
 * @param incarnation incarnation of its sidecar
 * @param load attempts in progress over capacity, corrected for what this entry started since the last report
 */
public record Candidate(BackendServer server, String incarnation, double load) {}
