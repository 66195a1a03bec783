package org.streamring.kernel.permit;

/**
 * A question for permits.
 *
 * @param incarnation the server that names a limit
 * @param perSecond the limit, as the asking entry last heard it
 * @param ageMillis time since the request was sent whose answer named it
 * @param wanted requests that wait for a permit
 */
public record PermitAsk(String incarnation, double perSecond, long ageMillis, int wanted) {}
