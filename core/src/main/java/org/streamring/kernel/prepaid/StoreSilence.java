package org.streamring.kernel.prepaid;

/**
 * Time during which the store has confirmed no write of this incarnation; it determines the usable part of the leases.
 *
 * @param newestMillis time since the newest write that may have taken effect was sent, or less
 * @param confirmedMillis time since the last confirmed write was sent, or less; at least {@code newestMillis}
 * @param silenceTimeoutMillis silence timeout, after which tokens above the usage caps may be used
 * @param fullReleaseMillis time after which all of a grant may be used
 */
public record StoreSilence(long newestMillis, long confirmedMillis, long silenceTimeoutMillis, long fullReleaseMillis) {
    /** Returns whether the silence timeout has elapsed. */
    boolean silenceTimeoutElapsed() {
        return newestMillis >= silenceTimeoutMillis;
    }

    /** Returns the tokens that a usage cap allows before the silence timeout. */
    long usable(Mark cap) {
        return cap.after(newestMillis, silenceTimeoutMillis);
    }

    /** Returns the tokens that the last confirmed usage cap alone allows. */
    long usableOfConfirmed(Mark cap) {
        return cap.after(confirmedMillis, silenceTimeoutMillis);
    }

    /** Returns the tokens of a grant that may be used after the silence timeout. */
    long released(Mark cap, long granted) {
        return cap.released(granted, newestMillis, silenceTimeoutMillis, fullReleaseMillis);
    }
}
