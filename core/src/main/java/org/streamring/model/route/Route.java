package org.streamring.model.route;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Route for the requests to a host and a path.
 *
 * @param name name of the route
 * @param host host name in the requests, in lower case
 * @param pathPrefix path prefix, which starts and ends with a slash
 * @param kind kind of the route, which determines whether a request may run more than once
 * @param resumable whether another replica may continue a broken stream
 * @param isPublic whether requests need no API key
 * @param priority priority rank of the requests; 0 is the most urgent
 * @param maxAttempts maximum number of replicas that one request may be sent to
 * @param timeout maximum time for handling a request; a deadline from the caller can only shorten it
 * @param targetLatency time within which an answer is expected
 * @param targetPause maximum pause between two events of a stream for the stream to count as in time
 * @param targets services that requests are sent to, at least one
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
    /** Creates a route with a copy of the list. */
    public Route {
        targets = List.copyOf(targets);
    }

    /** Returns whether a request that may have run may be sent again. */
    public boolean repeatable() {
        return kind == RouteKind.REPEATABLE || (kind == RouteKind.STREAM && resumable);
    }

    /** Returns the services that requests are sent to. */
    public Set<String> services() {
        return targets.stream()
                .filter(target -> target.weight() > 0)
                .map(RouteTarget::service)
                .collect(Collectors.toSet());
    }

    /** Returns whether the answers are event streams. */
    public boolean stream() {
        return kind == RouteKind.STREAM;
    }
}
