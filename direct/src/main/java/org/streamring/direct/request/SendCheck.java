package org.streamring.direct.request;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.streamring.kernel.availability.BackendAvailability;
import org.streamring.kernel.permit.LimitedBackends;
import org.streamring.kernel.permit.Permit;

/** Whether a request that is placed at a replica may still be sent to it. Confined to the event loop. */
final class SendCheck {
    private final BackendAvailability availability;
    private final LimitedBackends limits;
    private final LongSupplier clock;
    private final String incarnation;
    private final boolean asLast;
    private final Optional<Permit> permit;

    /** Takes a permit for a request that is placed now, if its replica names a limit. */
    SendCheck(BackendAvailability availability, LimitedBackends limits, LongSupplier clock, String incarnation) {
        this.availability = availability;
        this.limits = limits;
        this.clock = clock;
        this.incarnation = incarnation;
        this.asLast = availability.isLeaving(incarnation);
        this.permit = limits.place(incarnation, clock.getAsLong());
    }

    /** Asked when the connection is there: the replica may have said meanwhile that it takes nothing, or less. */
    boolean passes() {
        long now = clock.getAsLong();
        return availability.mayBeSent(incarnation, asLast, now) && limits.mayBeSent(incarnation, permit, now);
    }

    /** The request was not sent. */
    void notSent() {
        permit.ifPresent(limits::notSent);
    }
}
