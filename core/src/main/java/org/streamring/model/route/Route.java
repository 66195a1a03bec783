package org.streamring.model.route;

import java.time.Duration;
import java.util.List;

/**
 * Where requests for a host and a path go, and how.
 *
 * @param name name of the route
 * @param host host that callers name, in lower case
 * @param pathPrefix beginning of the path, with a slash at both ends
 * @param kind what a request may do twice
 * @param resumable whether a broken stream may be continued by another replica
 * @param isPublic whether requests carry no key
 * @param priority rank of its requests, 0 being the most urgent
 * @param maxAttempts most replicas that one request may be sent to
 * @param timeout longest time that a request is held
 * @param targetLatency time within which an answer is expected
 * @param targetPause longest pause between two events of a stream that is still in time
 * @param targets services, at least one
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        boolean resumable,
        boolean isPublic,
        int priority,
        int maxAttempts,
        Duration timeout,
        Duration targetLatency,
        Duration targetPause,
        List<RouteTarget> targets) {
    /** Copies the list. */
    public Route {
        targets = List.copyOf(targets);
    }

    /** Whether a request that may have run may be sent again. */
    public boolean repeatable() {
        return kind == RouteKind.REPEATABLE || (kind == RouteKind.STREAM && resumable);
    }

    /** Whether answers are series of events. */
    public boolean stream() {
        return kind == RouteKind.STREAM;
    }
}
