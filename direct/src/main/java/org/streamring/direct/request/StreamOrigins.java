package org.streamring.direct.request;

import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.streamring.direct.peer.StreamOriginExchange;
import org.streamring.kernel.registry.BackendRegistry;
import org.streamring.kernel.route.RouteTable;
import org.streamring.kernel.store.StorePosition;
import org.streamring.kernel.store.StoreView;
import org.streamring.kernel.stream.PossibleOrigins;
import org.streamring.kernel.stream.StreamOrigin;
import org.streamring.kernel.stream.StreamOriginTable;

/** What this entry knows of where streams began. Confined to the event loop. */
public final class StreamOrigins {
    private final StreamOriginTable table;
    private final StreamOriginExchange exchange;
    private final PossibleOrigins possible = new PossibleOrigins();
    private final BackendRegistry registry;
    private final Supplier<Optional<RouteTable>> routes;
    private final StoreView backends;
    private final long maxBackendsAgeMillis;
    private final LongSupplier clock;
    private Optional<RouteTable> observedRoutes = Optional.empty();

    /**
     * Creates an instance without knowledge of the past.
     *
     * @param backends view of the list of backend servers
     * @param maxBackendsAgeMillis age up to which that view counts as current
     */
    public StreamOrigins(
            StreamOriginTable table,
            StreamOriginExchange exchange,
            BackendRegistry registry,
            Supplier<Optional<RouteTable>> routes,
            StoreView backends,
            long maxBackendsAgeMillis,
            LongSupplier clock) {
        this.table = table;
        this.exchange = exchange;
        this.registry = registry;
        this.routes = routes;
        this.backends = backends;
        this.maxBackendsAgeMillis = maxBackendsAgeMillis;
        this.clock = clock;
    }

    /** Returns the exchange with other entries. */
    StreamOriginExchange exchange() {
        return exchange;
    }

    /** Returns the time since the store last confirmed the list of backend servers, in milliseconds. */
    long backendsAgeMillis() {
        return backends.ageMillis(clock.getAsLong());
    }

    /**
     * Returns the origin of all streams of a route that began during a period, if only one is possible. While the list
     * of backend servers is out of date, servers of any version may have been added, so no origin is returned.
     */
    Optional<StreamOrigin> onlyPossible(String route, String account, long periodMillis) {
        long now = clock.getAsLong();
        observe(now);
        observedRoutes.ifPresent(current -> observeRoutes(current, now));
        return backendsAgeMillis() > maxBackendsAgeMillis
                ? Optional.empty()
                : possible.only(route, account, periodMillis, now);
    }

    /** Records the current routes and servers, and drops what has expired. Has to be called regularly. */
    public void update() {
        long now = clock.getAsLong();
        observe(now);
        possible.expire(now);
        table.expire(now);
    }

    private void observe(long nowMillis) {
        if (!backends.position().equals(StorePosition.NONE)) {
            possible.listed(registry.all(), nowMillis);
        }
        Optional<RouteTable> current = routes.get();
        if (!current.equals(observedRoutes)) {
            observedRoutes.ifPresent(before -> observeRoutes(before, nowMillis));
            current.ifPresent(changed -> observeRoutes(changed, nowMillis));
            observedRoutes = current;
        }
    }

    private void observeRoutes(RouteTable table, long nowMillis) {
        table.configuration().routes().stream()
                .filter(route -> route.stream() && route.resumable())
                .forEach(route -> possible.routed(route.name(), route.services(), nowMillis));
    }
}
