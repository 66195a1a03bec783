package org.streamring.model.route;

/** Kind of a route, which determines whether its requests may run more than once. */
public enum RouteKind {
    /** Requests may run more than once. */
    REPEATABLE,
    /** Requests run at most once per call. */
    NOT_REPEATABLE,
    /** Answers are event streams. Requests run at most once unless the route is resumable. */
    STREAM
}
