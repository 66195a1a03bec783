package org.streamring.model.route;

/** What a request on a route may do twice. */
public enum RouteKind {
    /** May run more than once. */
    REPEATABLE,
    /** Runs at most once for each call. */
    NOT_REPEATABLE,
    /** A series of events; runs at most once unless the route is resumable. */
    STREAM
}
