package org.streamring.direct.request;

import org.streamring.kernel.admission.WaitQuery;

/**
 * Whether nothing can be sent to any replica of a service, by what they said of themselves or as this box's link is
 * full.
 *
 * @param millis time until one may be asked, in milliseconds: 0 if one may now or none is known, {@link
 *     WaitQuery#NEVER} if all leave
 * @param reason short name of the cause, for a refusal
 */
record Closure(long millis, String reason) {
    /** A replica may be asked now. */
    static final Closure OPEN = new Closure(0, "no_place");

    static Closure resting(long millis) {
        return new Closure(millis, "replicas_rest_or_leave");
    }

    /** The link of this box is full. */
    static Closure linkFull(long millis) {
        return new Closure(millis, "link_full");
    }

    static Closure limited(long millis) {
        return new Closure(millis, "replicas_limited");
    }
}
