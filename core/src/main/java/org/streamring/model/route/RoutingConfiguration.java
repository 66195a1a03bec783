package org.streamring.model.route;

import java.util.List;

/**
 * One version of the operator's configuration, in full.
 *
 * @param version rises from one configuration to the next
 * @param routes routes
 * @param services services
 * @param accounts client accounts; empty if no route asks for a key
 * @param limits what callers may send
 */
public record RoutingConfiguration(
        long version,
        List<Route> routes,
        List<ServiceTraits> services,
        List<PrepaidAccount> accounts,
        CallerLimits limits) {
    /** Copies the lists. */
    public RoutingConfiguration {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        accounts = List.copyOf(accounts);
    }
}
