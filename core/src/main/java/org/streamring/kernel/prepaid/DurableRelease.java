package org.streamring.kernel.prepaid;

/**
 * Until when an incarnation's grants are released while the store is silent, as far as the marks row that is in force
 * can be known here.
 *
 * <p>A successor reckons with the time that the row tells. While the outcome of a write is not known, the latest of
 * those that may be in force counts, as it releases most slowly. Confined to one thread.
 */
public final class DurableRelease {
    private long usableMillis;
    private long durableMillis;
    private boolean uncertain;

    /**
     * Creates one before the first row.
     *
     * @param initialMillis time since the last confirmed write, in milliseconds
     */
    DurableRelease(long initialMillis) {
        this.usableMillis = initialMillis;
        this.durableMillis = initialMillis;
    }

    /** Time since the last confirmed write at which all of a grant may be used, in milliseconds. */
    long usableMillis() {
        return usableMillis;
    }

    /** Notes that a row was sent. */
    public void proposed(long millis) {
        usableMillis = Math.max(usableMillis, millis);
    }

    /** Notes that a row is in force. */
    public void confirmed(long millis) {
        usableMillis = millis;
        durableMillis = millis;
        uncertain = false;
    }

    /** Notes that the row last sent did not take effect; an older one without an answer may still do so. */
    public void refused() {
        if (!uncertain) {
            usableMillis = durableMillis;
        }
    }

    /** Notes that nobody knows whether the row last sent took effect. */
    public void unanswered() {
        uncertain = true;
    }
}
