package org.streamring.kernel.prepaid;

/**
 * For how long the store has confirmed no write of this incarnation, and thus how much of its leases may be used.
 *
 * @param elapsedMillis time since the newest write was sent that may have taken effect, or less
 * @param inForceMillis time since the last confirmed write was sent, or less; not less than the time before
 * @param patienceMillis after this time tokens beyond the marks may be used
 * @param coverMillis after this time all of a grant may be used
 */
public record StoreSilence(long elapsedMillis, long inForceMillis, long patienceMillis, long coverMillis) {
    /** Whether the marks no longer bind. */
    boolean outOfPatience() {
        return elapsedMillis >= patienceMillis;
    }

    /** The tokens of a mark that may be used. */
    long usable(Mark mark) {
        return mark.after(elapsedMillis, patienceMillis);
    }

    /** The tokens of the mark that was confirmed last that may be used, as far as it alone is concerned. */
    long usableInForce(Mark mark) {
        return mark.after(inForceMillis, patienceMillis);
    }

    /** The tokens of a grant that may be used once the marks no longer bind. */
    long released(Mark mark, long granted) {
        return mark.released(granted, elapsedMillis, patienceMillis, coverMillis);
    }
}
