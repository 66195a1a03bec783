package org.streamring.kernel.prepaid;

/**
 * Time without a confirmed write after which all of a grant may be used, while writes of that time are in progress.
 *
 * <p>A successor calculates with the time in the stored row. While the outcome of a write is unknown, the longest time
 * that the stored row may contain applies, as it releases tokens most slowly. Confined to one thread.
 */
public final class DurableRelease {
    private long releaseMillis;
    private long confirmedMillis;
    private boolean uncertain;

    /**
     * Creates the state before the first row is written.
     *
     * @param initialMillis time since the last confirmed write, in milliseconds
     */
    DurableRelease(long initialMillis) {
        this.releaseMillis = initialMillis;
        this.confirmedMillis = initialMillis;
    }

    /** Returns the time since the last confirmed write after which all of a grant may be used, in milliseconds. */
    long releaseMillis() {
        return releaseMillis;
    }

    /** Notes that a row with this time was sent. */
    public void proposed(long millis) {
        releaseMillis = Math.max(releaseMillis, millis);
    }

    /** Notes that a row with this time was confirmed. */
    public void confirmed(long millis) {
        releaseMillis = millis;
        confirmedMillis = millis;
        uncertain = false;
    }

    /** Notes that the last row sent did not take effect; an earlier one of unknown outcome may still do so. */
    public void refused() {
        if (!uncertain) {
            releaseMillis = confirmedMillis;
        }
    }

    /** Notes that the outcome of the last row sent is unknown. */
    public void outcomeUnknown() {
        uncertain = true;
    }
}
