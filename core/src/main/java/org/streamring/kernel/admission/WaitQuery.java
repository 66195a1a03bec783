package org.streamring.kernel.admission;

/**
 * State of a request for which no slot is free.
 *
 * @param waitedMillis time since the request arrived
 * @param targetMillis time from arrival within which the first part of the answer counts as in time
 * @param remainingMillis time until the deadline for the final answer
 * @param ahead number of requests waiting at this entry that are served before this one
 * @param slotsReleasedPerMilli average number of slots per millisecond that were recently released for this entry
 * @param unavailableMillis time until the first replica accepts requests again, as announced by the replicas; 0 if one
 *     accepts requests now or no replica is known; {@link #NEVER} if all replicas are shutting down
 */
public record WaitQuery(
        long waitedMillis,
        long targetMillis,
        long remainingMillis,
        int ahead,
        double slotsReleasedPerMilli,
        long unavailableMillis) {
    /** Value of {@code unavailableMillis} if no known replica will accept requests again. */
    public static final long NEVER = Long.MAX_VALUE;
}
