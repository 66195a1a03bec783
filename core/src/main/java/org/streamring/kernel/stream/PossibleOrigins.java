package org.streamring.kernel.stream;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import org.streamring.kernel.registry.BackendInstance;

/**
 * Services of each route and software versions of each service in the recent past. From them follows the origin of a
 * stream that nobody recorded, if only one is possible. Confined to one thread.
 */
public final class PossibleOrigins {
    /** Longest period for which the past is known. */
    static final long RETENTION_MILLIS = 600_000;

    private final RecentValues services = new RecentValues(RETENTION_MILLIS);
    private final RecentValues softwareVersions = new RecentValues(RETENTION_MILLIS);

    /** Records the services of a route. Has to be called before and after each change, and regularly. */
    public void routed(String route, Set<String> targets, long nowMillis) {
        targets.forEach(service -> services.seen(route, service, nowMillis));
    }

    /** Records all servers that are listed. Has to be called after each change, and regularly. */
    public void listed(Collection<BackendInstance> instances, long nowMillis) {
        instances.forEach(each -> softwareVersions.seen(each.service(), each.softwareVersion(), nowMillis));
    }

    /** Removes what is older than the longest period. */
    public void expire(long nowMillis) {
        services.expire(nowMillis);
        softwareVersions.expire(nowMillis);
    }

    /**
     * Returns the origin of all streams of a route that began during a period, if only one is possible.
     *
     * @param account name of the client account that resumes the stream
     * @param periodMillis length of the period that ends now
     */
    public Optional<StreamOrigin> only(String route, String account, long periodMillis, long nowMillis) {
        return services.only(route, periodMillis, nowMillis).flatMap(service -> softwareVersions
                .only(service, periodMillis, nowMillis)
                .map(version -> new StreamOrigin(service, version, account)));
    }
}
