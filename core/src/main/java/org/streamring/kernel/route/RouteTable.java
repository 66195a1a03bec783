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

/** An immutable index over one version of the configuration. */
public final class RouteTable {
    private final RoutingConfiguration configuration;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, PrepaidAccount> accountsByKey = new HashMap<>();
    private final Map<String, PrepaidAccount> accountsByName = new HashMap<>();
    private final Map<String, ServiceTraits> services = new HashMap<>();

    /** Indexes a configuration. */
    public RouteTable(RoutingConfiguration configuration) {
        this.configuration = configuration;
        Comparator<Route> longestPrefixFirst = Comparator.comparingInt(
                        (Route route) -> route.pathPrefix().length())
                .reversed();
        Map<String, List<Route>> unordered = new HashMap<>();
        for (Route route : configuration.routes()) {
            unordered
                    .computeIfAbsent(route.host(), host -> new java.util.ArrayList<>())
                    .add(route);
        }
        unordered.forEach((host, routes) -> routesByHost.put(
                host, routes.stream().sorted(longestPrefixFirst).toList()));
        for (PrepaidAccount account : configuration.accounts()) {
            accountsByName.put(account.name(), account);
            account.keys().forEach(key -> accountsByKey.put(key, account));
        }
        configuration.services().forEach(service -> services.put(service.name(), service));
    }

    /** Version of the configuration. */
    public long version() {
        return configuration.version();
    }

    /** The configuration itself. */
    public RoutingConfiguration configuration() {
        return configuration;
    }

    /**
     * Finds the route with the longest matching prefix.
     *
     * @param host value of the host header, with or without a port
     * @param target request target; a query is ignored
     */
    public Optional<Route> find(String host, String target) {
        String path = pathOf(target);
        return routesByHost.getOrDefault(hostName(host), List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /** Whether requests on this route must carry a key. */
    public boolean needsKey(Route route) {
        return !route.isPublic() && !configuration.accounts().isEmpty();
    }

    /** The account that holds a key. */
    public Optional<PrepaidAccount> accountOfKey(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }

    /** The account of a name. */
    public Optional<PrepaidAccount> account(String name) {
        return Optional.ofNullable(accountsByName.get(name));
    }

    /** What is known of a service. */
    public ServiceTraits service(String name) {
        return services.getOrDefault(name, new ServiceTraits(name, Integer.MAX_VALUE, 0, 0, 0));
    }

    /**
     * Picks the service of one request.
     *
     * @param draw a random number from 0 (inclusive) to 1 (exclusive)
     */
    public static String pickService(Route route, double draw) {
        double total = route.targets().stream().mapToDouble(RouteTarget::weight).sum();
        double point = draw * total;
        for (RouteTarget target : route.targets()) {
            point -= target.weight();
            if (point < 0) {
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
