package org.streamring.kernel.prepaid;

/**
 * Time from which the usage caps of an incarnation rise, while writes of the row that contains them are in progress.
 *
 * <p>Each row contains the time at which it is sent. Until the outcome of a write is known, the later time applies,
 * because the new row may already be in the store. While an outcome is unknown, further rows repeat the same time, so
 * that the caps continue to rise during a store outage. If a row contained the time of the previous write instead, a
 * successor would have to assume that a dead incarnation used its leases for one more write interval: 0.85 s of 3.2 s
 * with 30 entries. Confined to one thread.
 */
public final class DurableCapRise {
    private RiseStart usable;
    private RiseStart confirmedValue;
    private boolean uncertain;

    /**
     * Time at which a row was sent.
     *
     * @param localMillis on the monotonic clock of this process
     * @param storeMillis on the clock of the store, or earlier
     */
    public record RiseStart(long localMillis, long storeMillis) {}

    /** Creates the state before the first row is written. */
    public DurableCapRise() {
        this.usable = new RiseStart(0, 0);
        this.confirmedValue = usable;
    }

    /** Returns the latest time that the stored row may contain. */
    public RiseStart usable() {
        return usable;
    }

    /**
     * Returns the time contained in the last confirmed row; while an outcome is unknown, the latest time that the
     * stored row may contain.
     */
    public RiseStart inForce() {
        return uncertain ? usable : confirmedValue;
    }

    /**
     * Notes that a row is sent now.
     *
     * @return the time to write to the row
     */
    public RiseStart proposed(RiseStart now) {
        if (!uncertain) {
            usable = now;
        }
        return usable;
    }

    /** Notes that the last row sent was confirmed. */
    public void confirmed() {
        confirmedValue = usable;
        uncertain = false;
    }

    /** Notes that the last row sent did not take effect; an earlier one of unknown outcome may still do so. */
    public void refused() {
        if (!uncertain) {
            usable = confirmedValue;
        }
    }

    /** Notes that the outcome of the last row sent is unknown. */
    public void outcomeUnknown() {
        uncertain = true;
    }
}
