package org.streamring.kernel.admission;

/**
 * What is known of a request for which no place is free.
 *
 * @param waitedMillis time since it arrived
 * @param targetMillis time within which its first answer counts fully, from its arrival
 * @param leftMillis time until it must have its final answer
 * @param ahead requests that wait here and go before it
 * @param freedPerMilli places that became free for this entry lately, in a millisecond on average
 * @param closedMillis time until a replica may be asked at all, as they said themselves; 0 if one may now, or none is
 *     known; {@link #NEVER} if all leave
 */
public record WaitQuery(
        long waitedMillis, long targetMillis, long leftMillis, int ahead, double freedPerMilli, long closedMillis) {
    /** No replica that is known will take anything again. */
    public static final long NEVER = Long.MAX_VALUE;
}
