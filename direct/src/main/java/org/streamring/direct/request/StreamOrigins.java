package org.streamring.direct.request;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.streamring.direct.feed.SoftwareVersionLog;
import org.streamring.direct.peer.StreamOriginExchange;
import org.streamring.kernel.registry.BackendRegistry;
import org.streamring.kernel.route.RouteTable;
import org.streamring.kernel.store.StorePosition;
import org.streamring.kernel.store.StoreView;
import org.streamring.kernel.stream.PossibleOrigins;
import org.streamring.kernel.stream.StreamOrigin;
import org.streamring.model.route.Route;

/** What this entry knows of where streams began. Confined to the event loop. */
public final class StreamOrigins {
    /** A call for changes of the list is answered within 600 ms while nothing changes. */
    static final long MAX_CONFIRMATION_MILLIS = 700;

    /** Age from which the store is taken to be away, so that waiting for it would only delay a refusal. */
    private static final long MAX_BACKENDS_AGE_MILLIS = 1_500;

    private static final long CONFIRMATION_CHECK_MILLIS = 20;

    private final StreamOriginExchange exchange;
    private final PossibleOrigins possible = new PossibleOrigins();
    private final BackendRegistry registry;
    private final Supplier<Optional<RouteTable>> routes;
    private final StoreView backends;
    private final EventLoop loop;
    private final LongSupplier clock;
    private Optional<RouteTable> observedRoutes = Optional.empty();

    /**
     * Creates an instance without knowledge of the past.
     *
     * @param backends view of the list of backend servers
     */
    public StreamOrigins(
            StreamOriginExchange exchange,
            BackendRegistry registry,
            Supplier<Optional<RouteTable>> routes,
            StoreView backends,
            EventLoop loop,
            LongSupplier clock) {
        this.exchange = exchange;
        this.registry = registry;
        this.routes = routes;
        this.backends = backends;
        this.loop = loop;
        this.clock = clock;
    }

    /** Starts receiving frames of other entries. */
    public void start() {
        exchange.start();
    }

    /** Returns the number of known streams that only servers of a software version can continue. */
    public int count(SoftwareVersionLog.ServedVersion version) {
        return exchange.count(version.service(), version.softwareVersion());
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
     * Waits until the store has confirmed the list of backend servers after a time. An older list may lack the server
     * that began the stream.
     *
     * @param onResult receives whether the list was confirmed; {@code false} after {@link #MAX_CONFIRMATION_MILLIS}, or
     *     at once if the store is away
     */
    void awaitCurrentBackends(long sinceMillis, Consumer<Boolean> onResult) {
        long now = clock.getAsLong();
        long age = backends.ageMillis(now);
        boolean current = now - age > sinceMillis;
        if (current || age > MAX_BACKENDS_AGE_MILLIS || now - sinceMillis > MAX_CONFIRMATION_MILLIS) {
            onResult.accept(current);
            return;
        }
        loop.schedule(
                () -> awaitCurrentBackends(sinceMillis, onResult), CONFIRMATION_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the origin of all streams of a route that began during a period, if only one is possible. */
    Optional<StreamOrigin> onlyPossible(Route route, String account, long periodMillis) {
        long now = clock.getAsLong();
        observe(now);
        return possible.only(address(route), account, periodMillis, now);
    }

    /** Records the current routes and servers, and drops what has expired. Has to be called regularly. */
    public void update() {
        long now = clock.getAsLong();
        observe(now);
        possible.expire(now);
        exchange.expire();
    }

    private void observe(long nowMillis) {
        if (!backends.position().equals(StorePosition.NONE)) {
            possible.listed(registry.all(), nowMillis);
        }
        Optional<RouteTable> current = routes.get();
        if (!current.equals(observedRoutes)) {
            observedRoutes.ifPresent(before -> observeRoutes(before, nowMillis));
            observedRoutes = current;
        }
        current.ifPresent(inForce -> observeRoutes(inForce, nowMillis));
    }

    private void observeRoutes(RouteTable table, long nowMillis) {
        table.configuration().routes().stream()
                .filter(route -> route.stream() && route.resumable())
                .forEach(route -> possible.routed(address(route), route.services(), nowMillis));
    }

    /** A resumed request has the same address, but its route may have another name by then. */
    private static String address(Route route) {
        return route.host() + route.pathPrefix();
    }
}
