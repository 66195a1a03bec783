package org.streamring.direct.request;

import org.streamring.kernel.admission.WaitQuery;

/**
 * Time for which no replica of a service may be asked to serve a request, because of the replicas' own notices or
 * because the network link of this box is full.
 *
 * @param millis time until one may be asked, in milliseconds: 0 if one may now or none is known, {@link
 *     WaitQuery#NEVER} if all are shutting down or none has the required software version
 * @param reason short name of the cause, for a refusal
 */
record ServiceUnavailability(long millis, String reason) {
    /** A replica accepts requests, or none is known. */
    static final ServiceUnavailability AVAILABLE = new ServiceUnavailability(0, "no_place");

    static ServiceUnavailability backingOff(long millis) {
        return new ServiceUnavailability(millis, "replicas_rest_or_leave");
    }

    /** No replica that was not tried yet has the software version that began the stream. */
    static ServiceUnavailability versionNotServed() {
        return new ServiceUnavailability(WaitQuery.NEVER, "software_version_not_served");
    }

    /** The link of this box is full. */
    static ServiceUnavailability linkFull(long millis) {
        return new ServiceUnavailability(millis, "link_full");
    }

    static ServiceUnavailability limited(long millis) {
        return new ServiceUnavailability(millis, "replicas_limited");
    }
}
