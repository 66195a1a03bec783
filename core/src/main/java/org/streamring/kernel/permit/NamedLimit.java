package org.streamring.kernel.permit;

/**
 * The limit that a server named, as far as answers that overtake each other tell.
 *
 * @param perSecond requests a second; {@link #UNLIMITED} where it names none any more
 * @param sentMillis when the newest request was sent whose answer named it
 * @param heardMillis when such an answer was heard last
 */
record NamedLimit(double perSecond, long sentMillis, long heardMillis) {
    static final double UNLIMITED = Double.POSITIVE_INFINITY;

    /**
     * What holds after another answer. A smaller limit counts unless its answer was heard before the request of the
     * larger one was sent; a larger one counts only in that case.
     */
    NamedLimit followedBy(NamedLimit other) {
        if (other.perSecond == perSecond) {
            return new NamedLimit(
                    perSecond, Math.max(sentMillis, other.sentMillis), Math.max(heardMillis, other.heardMillis));
        }
        NamedLimit smaller = other.perSecond < perSecond ? other : this;
        NamedLimit larger = other.perSecond < perSecond ? this : other;
        return larger.sentMillis > smaller.heardMillis ? larger : smaller;
    }

    boolean binds() {
        return perSecond != UNLIMITED;
    }
}
