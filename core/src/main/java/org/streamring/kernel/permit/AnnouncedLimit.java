package org.streamring.kernel.permit;

/**
 * Limit that a backend server has announced, derived from answers that may arrive out of order.
 *
 * @param perSecond requests per second; {@link #UNLIMITED} if the server no longer announces a limit
 * @param sentMillis when the newest request was sent whose answer announced the limit
 * @param heardMillis when such an answer was last received
 */
record AnnouncedLimit(double perSecond, long sentMillis, long heardMillis) {
    static final double UNLIMITED = Double.POSITIVE_INFINITY;

    /**
     * Returns the limit in force after another answer. If the answer with the smaller limit was received before the
     * request of the larger one was sent, the larger limit applies; otherwise the smaller one does.
     */
    AnnouncedLimit combinedWith(AnnouncedLimit other) {
        if (other.perSecond == perSecond) {
            return new AnnouncedLimit(
                    perSecond, Math.max(sentMillis, other.sentMillis), Math.max(heardMillis, other.heardMillis));
        }
        AnnouncedLimit smaller = other.perSecond < perSecond ? other : this;
        AnnouncedLimit larger = other.perSecond < perSecond ? this : other;
        return larger.sentMillis > smaller.heardMillis ? larger : smaller;
    }

    boolean hasLimit() {
        return perSecond != UNLIMITED;
    }
}
