package org.streamring.kernel.permit;

/**
 * Answer of a permit owner to a permit request.
 *
 * @param count number of permits granted
 * @param waitMillis time in milliseconds after which to request again, if no permit was granted
 */
public record PermitGrant(int count, long waitMillis) {
    /** Creates an answer that grants no permit. */
    static PermitGrant none(long waitMillis) {
        return new PermitGrant(0, waitMillis);
    }

    /** Returns this answer with the wait reduced to a maximum. */
    PermitGrant waitingAtMost(long maxMillis) {
        return new PermitGrant(count, Math.min(waitMillis, maxMillis));
    }
}
