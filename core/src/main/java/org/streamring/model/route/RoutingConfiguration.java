package org.streamring.model.route;

import java.util.List;

/**
 * Complete version of the operator's configuration.
 *
 * @param version version, which increases with every configuration
 * @param routes routes of the deployment
 * @param services properties of the services
 * @param accounts client accounts; empty if no route requires a key
 * @param limits limits on requests and connections of callers
 */
public record RoutingConfiguration(
        long version,
        List<Route> routes,
        List<ServiceTraits> services,
        List<PrepaidAccount> accounts,
        CallerLimits limits) {
    /** Creates a configuration with copies of the lists. */
    public RoutingConfiguration {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        accounts = List.copyOf(accounts);
    }
}
