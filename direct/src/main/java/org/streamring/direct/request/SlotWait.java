package org.streamring.direct.request;

/**
 * Time for which one request has waited for a slot. The time of an attempt that was not sent does not count: the
 * request had no chance to run, and may find all other slots in use at the moment at which the attempt ends. Confined
 * to the event loop.
 */
final class SlotWait {
    private final long arrivedMillis;
    private long attemptBeganMillis;
    private long unsentMillis;

    SlotWait(long arrivedMillis) {
        this.arrivedMillis = arrivedMillis;
    }

    /** Records that an attempt begins. */
    void attemptBegan(long nowMillis) {
        attemptBeganMillis = nowMillis;
    }

    /** Records that the attempt that began last ended without being sent. */
    void attemptNotSent(long nowMillis) {
        unsentMillis += nowMillis - attemptBeganMillis;
    }

    /** Returns the time since the request arrived, without attempts that were not sent. */
    long waitedMillis(long nowMillis) {
        return nowMillis - arrivedMillis - unsentMillis;
    }
}
