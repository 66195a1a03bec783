package org.streamring.kernel.route;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.streamring.model.route.PrepaidAccount;
import org.streamring.model.route.Route;
import org.streamring.model.route.RouteTarget;
import org.streamring.model.route.RoutingConfiguration;
import org.streamring.model.route.ServiceTraits;

/** Immutable index of the routes, accounts and services of one configuration version. */
public final class RouteTable {
    private final RoutingConfiguration configuration;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, PrepaidAccount> accountsByKey = new HashMap<>();
    private final Map<String, PrepaidAccount> accountsByName = new HashMap<>();
    private final Map<String, ServiceTraits> services = new HashMap<>();

    /** Creates the index for a configuration. */
    public RouteTable(RoutingConfiguration configuration) {
        this.configuration = configuration;
        Comparator<Route> longestPrefixFirst = Comparator.comparingInt(
                        (Route route) -> route.pathPrefix().length())
                .reversed();
        Map<String, List<Route>> unsorted = new HashMap<>();
        for (Route route : configuration.routes()) {
            unsorted.computeIfAbsent(route.host(), host -> new java.util.ArrayList<>())
                    .add(route);
        }
        unsorted.forEach((host, routes) -> routesByHost.put(
                host, routes.stream().sorted(longestPrefixFirst).toList()));
        for (PrepaidAccount account : configuration.accounts()) {
            accountsByName.put(account.name(), account);
            account.keys().forEach(key -> accountsByKey.put(key, account));
        }
        configuration.services().forEach(service -> services.put(service.name(), service));
    }

    /** Returns the version of the configuration. */
    public long version() {
        return configuration.version();
    }

    /** Returns the configuration. */
    public RoutingConfiguration configuration() {
        return configuration;
    }

    /**
     * Returns the route of the host with the longest matching path prefix, or empty if there is none.
     *
     * @param host value of the host header, with or without a port
     * @param target request target; its query is ignored
     */
    public Optional<Route> find(String host, String target) {
        String path = pathOf(target);
        return routesByHost.getOrDefault(hostName(host), List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /** Returns whether requests on this route must have an account key. */
    public boolean needsKey(Route route) {
        return !route.isPublic() && !configuration.accounts().isEmpty();
    }

    /** Returns the account to which a key belongs. */
    public Optional<PrepaidAccount> accountOfKey(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }

    /** Returns the account with the given name. */
    public Optional<PrepaidAccount> account(String name) {
        return Optional.ofNullable(accountsByName.get(name));
    }

    /** Returns the traits of a service; a plain service without connection limit if it is not configured. */
    public ServiceTraits service(String name) {
        return services.getOrDefault(name, new ServiceTraits(name, Integer.MAX_VALUE, 0, 0, 0));
    }

    /**
     * Selects the target service of a request according to the weights of the route.
     *
     * @param draw random number from 0 (inclusive) to 1 (exclusive)
     */
    public static String pickService(Route route, double draw) {
        double total = route.targets().stream().mapToDouble(RouteTarget::weight).sum();
        double remaining = draw * total;
        for (RouteTarget target : route.targets()) {
            remaining -= target.weight();
            if (remaining < 0) {
                return target.service();
            }
        }
        return route.targets().get(0).service();
    }

    private static String hostName(String host) {
        int colon = host.lastIndexOf(':');
        String name = colon < 0 ? host : host.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }

    private static String pathOf(String target) {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
