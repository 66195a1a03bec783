package org.streamring.kernel.prepaid;

/**
 * Since when an incarnation's marks rise, as far as the marks row that is in force can be known here.
 *
 * <p>A row tells the time at which it was sent itself. Until the outcome of that write is known the later time counts,
 * as the row may be in force; while it is not known at all, further rows tell the same time, so that marks go on rising
 * through an outage. Rows that told the time of the write before left a successor an interval between writes more in
 * which a dead incarnation may have used its leases: 0.85 s of 3.2 s before 30 entries. Confined to one thread.
 */
public final class DurableRise {
    private RiseStart usable;
    private RiseStart durable;
    private boolean uncertain;

    /**
     * The time at which a row was sent.
     *
     * @param localMillis on this process's steady clock
     * @param storeMillis on the clock of the store, or before
     */
    public record RiseStart(long localMillis, long storeMillis) {}

    /** Creates one before the first row. */
    public DurableRise() {
        this.usable = new RiseStart(0, 0);
        this.durable = usable;
    }

    /** The latest time that a row which may be in force tells. */
    public RiseStart usable() {
        return usable;
    }

    /** The time that the row tells which was confirmed last. */
    public RiseStart inForce() {
        return uncertain ? usable : durable;
    }

    /**
     * Notes that a row is sent now.
     *
     * @return what the row has to tell
     */
    public RiseStart proposed(RiseStart now) {
        if (!uncertain) {
            usable = now;
        }
        return usable;
    }

    /** Notes that the row last sent is in force. */
    public void confirmed() {
        durable = usable;
        uncertain = false;
    }

    /** Notes that the row last sent did not take effect; an older one without an answer may still do so. */
    public void refused() {
        if (!uncertain) {
            usable = durable;
        }
    }

    /** Notes that nobody knows whether the row last sent took effect. */
    public void unanswered() {
        uncertain = true;
    }
}
