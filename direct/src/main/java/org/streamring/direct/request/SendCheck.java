package org.streamring.direct.request;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.streamring.kernel.availability.BackendAvailability;
import org.streamring.kernel.permit.LimitedBackends;
import org.streamring.kernel.permit.Permit;
import org.streamring.kernel.placement.ColdReplicas;
import org.streamring.kernel.registry.BackendInstance;

/**
 * Counts a request that is placed at a replica against the limits of that replica, and checks whether it may still be
 * sent to it. Confined to the event loop.
 */
final class SendCheck {
    private final BackendAvailability availability;
    private final LimitedBackends limits;
    private final ColdReplicas cold;
    private final LongSupplier clock;
    private final BackendInstance instance;
    private final long placedMillis;
    private final boolean lastResort;
    private final Optional<Permit> permit;

    /** Counts a request that is placed now; takes a permit if the replica announces a limit. */
    SendCheck(
            BackendAvailability availability,
            LimitedBackends limits,
            ColdReplicas cold,
            LongSupplier clock,
            BackendInstance instance) {
        this.availability = availability;
        this.limits = limits;
        this.cold = cold;
        this.clock = clock;
        this.instance = instance;
        this.placedMillis = clock.getAsLong();
        this.lastResort = availability.isShuttingDown(instance.incarnation());
        this.permit = limits.place(instance.incarnation(), placedMillis);
        cold.placed(instance.id(), placedMillis);
        availability.placed(instance.incarnation(), placedMillis);
    }

    /**
     * Returns whether the request may be sent. Called when the connection is established: in the meantime the replica
     * may have announced that it accepts no requests, or fewer.
     */
    boolean passes() {
        long now = clock.getAsLong();
        return availability.mayBeSent(instance.incarnation(), lastResort, now)
                && limits.mayBeSent(instance.incarnation(), permit, now);
    }

    /** Gives back what a request that was not sent counted for. */
    void notSent() {
        permit.ifPresent(limits::notSent);
        cold.notSent(instance.id(), placedMillis);
        availability.notSent(instance.incarnation(), placedMillis);
    }
}
