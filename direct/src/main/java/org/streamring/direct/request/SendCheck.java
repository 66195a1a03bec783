package org.streamring.direct.request;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.streamring.kernel.availability.BackendAvailability;
import org.streamring.kernel.permit.LimitedBackends;
import org.streamring.kernel.permit.Permit;

/** Checks whether a request that was placed at a replica may still be sent to it. Confined to the event loop. */
final class SendCheck {
    private final BackendAvailability availability;
    private final LimitedBackends limits;
    private final LongSupplier clock;
    private final String incarnation;
    private final boolean lastResort;
    private final Optional<Permit> permit;

    /** Creates the check for a request that is placed now; takes a permit if the replica announces a limit. */
    SendCheck(BackendAvailability availability, LimitedBackends limits, LongSupplier clock, String incarnation) {
        this.availability = availability;
        this.limits = limits;
        this.clock = clock;
        this.incarnation = incarnation;
        this.lastResort = availability.isShuttingDown(incarnation);
        this.permit = limits.place(incarnation, clock.getAsLong());
    }

    /**
     * Returns whether the request may be sent. Called when the connection is established: in the meantime the replica
     * may have announced that it accepts no requests, or fewer.
     */
    boolean passes() {
        long now = clock.getAsLong();
        return availability.mayBeSent(incarnation, lastResort, now) && limits.mayBeSent(incarnation, permit, now);
    }

    /** Returns the permit of a request that was not sent. */
    void notSent() {
        permit.ifPresent(limits::notSent);
    }
}
