package org.streamring.direct.request;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.streamring.kernel.limit.FleetRetryBudget;

/**
 * Retries of one request, as far as the limit of its service allows them. A granted retry counts from the moment at
 * which it is written to a connection. Confined to the event loop.
 */
final class RequestRetries {
    private final RequestServices services;
    private final String service;
    private final RequestLog log;
    private final LongSupplier elapsed;
    private Optional<FleetRetryBudget.Grant> grant = Optional.empty();
    private long grantedMillis;

    /**
     * Creates an instance without a granted retry.
     *
     * @param elapsed milliseconds since the arrival of the request
     */
    RequestRetries(RequestServices services, String service, RequestLog log, LongSupplier elapsed) {
        this.services = services;
        this.service = service;
        this.log = log;
        this.elapsed = elapsed;
    }

    /** Records the arrival of the request. */
    void requestArrived() {
        budget().request(now());
    }

    /** Returns whether the budget allows a retry now, without taking it. */
    boolean available() {
        return budget().allows(now());
    }

    /** Takes a retry from the budget; returns false if the budget allows none. */
    boolean tryTake() {
        grant = budget().tryRetry(now());
        grantedMillis = now();
        log.retryDecided(grant.isPresent(), budget().use(), elapsed.getAsLong());
        services.metrics().retryDecided(service, grant.isPresent());
        return grant.isPresent();
    }

    /** Records that the request is written to a connection; has no effect on the first attempt. */
    void written(String replica) {
        grant.ifPresent(granted -> {
            granted.sent(now());
            log.retrySent(replica, now() - grantedMillis, elapsed.getAsLong());
        });
        grant = Optional.empty();
    }

    /** Gives back a granted retry that was not sent. */
    void giveBack() {
        grant.ifPresent(FleetRetryBudget.Grant::giveBack);
        grant = Optional.empty();
    }

    private FleetRetryBudget budget() {
        return services.fleet().retries(service);
    }

    private long now() {
        return services.clock().getAsLong();
    }
}
