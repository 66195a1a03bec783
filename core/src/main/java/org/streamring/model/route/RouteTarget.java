package org.streamring.model.route;

/**
 * Service that a route sends requests to.
 *
 * @param service name of the service
 * @param weight share of the route's requests relative to the other targets
 */
public record RouteTarget(String service, double weight) {}
