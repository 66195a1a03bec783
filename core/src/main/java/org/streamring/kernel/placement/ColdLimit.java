package org.streamring.kernel.placement;

/**
 * Request rate that a cold replica can handle, for all entries together.
 *
 * @param perSecond requests per second that the replica can sustain while it is cold; 0 means no limit
 * @param maxInOneSecond maximum number of requests in any one second; above it the replica may crash
 */
public record ColdLimit(double perSecond, double maxInOneSecond) {
    /** No limit, for a service whose replicas are never cold. */
    public static final ColdLimit NONE = new ColdLimit(0, 0);

    /** Returns whether cold replicas are limited. */
    public boolean isLimited() {
        return perSecond > 0;
    }
}
