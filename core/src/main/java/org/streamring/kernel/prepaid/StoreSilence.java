package org.streamring.kernel.prepaid;

/**
 * For how long the store has confirmed no write of this incarnation, and thus how much of its leases may be used.
 *
 * @param elapsedMillis time since the last confirmed write was sent, or less
 * @param patienceMillis after this time all that is granted may be used
 * @param outOfPatience whether it is over
 */
public record StoreSilence(long elapsedMillis, long patienceMillis, boolean outOfPatience) {
    /** The tokens of a mark that may be used. */
    long usable(Mark mark) {
        return mark.after(elapsedMillis, patienceMillis);
    }
}
