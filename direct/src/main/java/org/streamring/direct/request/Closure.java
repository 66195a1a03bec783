package org.streamring.direct.request;

import org.streamring.kernel.admission.WaitQuery;

/**
 * Whether all replicas of a service are closed by what they said of themselves.
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

    static Closure limited(long millis) {
        return new Closure(millis, "replicas_limited");
    }
}
