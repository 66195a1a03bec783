package org.streamring.kernel.placement;

/**
 * What a cold replica bears, of all entries together.
 *
 * @param perSecond requests in a second that it bears while it is cold; 0 where it bears any number
 * @param mostInSecond requests in any second beyond which it may fall over
 */
public record ColdLimit(double perSecond, double mostInSecond) {
    /** Of a service whose replicas are never cold. */
    public static final ColdLimit NONE = new ColdLimit(0, 0);

    /** Whether there is a limit. */
    public boolean binds() {
        return perSecond > 0;
    }
}
