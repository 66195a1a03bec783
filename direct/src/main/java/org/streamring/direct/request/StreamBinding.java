package org.streamring.direct.request;

import java.util.Optional;
import org.streamring.direct.peer.StreamOriginExchange;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.kernel.stream.StreamOrigin;

/**
 * Binds the answer to a request to the origin of its stream, as soon as the stream has one. Confined to the event loop.
 */
final class StreamBinding {
    private final RequestPlan plan;
    private final BackendFleet fleet;
    private final StreamOriginExchange origins;
    private Optional<StreamOrigin> origin;

    /**
     * Creates the binding of a request.
     *
     * @param resumed origin of the stream that the request resumes; empty if it begins a new one
     */
    StreamBinding(RequestPlan plan, BackendFleet fleet, StreamOriginExchange origins, Optional<StreamOrigin> resumed) {
        this.plan = plan;
        this.fleet = fleet;
        this.origins = origins;
        this.origin = resumed;
    }

    /**
     * Records the origin of a new stream. Has to be called before its first event is passed on.
     *
     * @param replica replica that sent the event
     * @param callerWaitMillis time for which the caller may resume the stream
     */
    void firstEvent(BackendInstance replica, long callerWaitMillis) {
        if (origin.isPresent() || !plan.route().repeatable()) {
            return;
        }
        StreamOrigin began =
                new StreamOrigin(plan.service().name(), fleet.softwareVersionOf(replica), plan.accountName());
        origin = Optional.of(began);
        origins.began(plan.id(), began, callerWaitMillis);
    }

    /** Returns the software version that replicas must have to continue the stream; empty if any may begin it. */
    Optional<String> softwareVersion() {
        return origin.map(StreamOrigin::softwareVersion);
    }
}
