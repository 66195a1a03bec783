package org.streamring.kernel.memory;

/**
 * Memory for one body. Created by {@link MemoryBudget#reserve}; held at once, or after a wait. Confined to one thread.
 */
public final class MemoryReservation {
    /** Receives what becomes of a reservation after its creation. */
    public interface Holder {
        /** Called when the memory is held after a wait. */
        void granted();

        /** Called when the wait is over without success, or the memory has to be released again. */
        void refused(MemoryRefusal reason);
    }

    enum State {
        WAITING,
        HELD,
        ENDED
    }

    private final MemoryBudget budget;
    private final BodyKind kind;
    private final Holder holder;
    private final long sinceMillis;
    private long bytes;
    private State state = State.WAITING;
    private long heldMillis;
    private long lastArrivalMillis;
    private long arrivedBytes;
    private boolean whole;

    MemoryReservation(MemoryBudget budget, BodyKind kind, long bytes, long nowMillis, Holder holder) {
        this.budget = budget;
        this.kind = kind;
        this.bytes = bytes;
        this.sinceMillis = nowMillis;
        this.holder = holder;
    }

    /** Returns whether the memory is held. */
    public boolean held() {
        return state == State.HELD;
    }

    /** Returns whether the reservation still waits for memory. */
    public boolean waiting() {
        return state == State.WAITING;
    }

    /** Returns whether the memory of this many bytes is held. */
    public boolean holds(long wantedBytes) {
        return state == State.HELD && wantedBytes <= bytes;
    }

    /** Returns whether the reservation is held, or waits, for this many bytes or more. */
    public boolean isFor(long wantedBytes) {
        return state != State.ENDED && wantedBytes <= bytes;
    }

    /** Returns the time in milliseconds for which the reservation waited, or has waited so far. */
    public long waitedMillis(long nowMillis) {
        return (state == State.WAITING ? nowMillis : heldMillis) - sinceMillis;
    }

    /** Records that a part of the body has arrived. */
    public void arrived(long partBytes, long nowMillis) {
        arrivedBytes += partBytes;
        lastArrivalMillis = nowMillis;
    }

    /** Records that the body has arrived whole, and gives back what it does not need. */
    public void wholeWith(long neededBytes) {
        whole = true;
        budget.shrink(this, neededBytes);
    }

    /** Ends the reservation and gives back its memory. */
    public void release() {
        budget.release(this);
    }

    BodyKind kind() {
        return kind;
    }

    long bytes() {
        return bytes;
    }

    boolean large() {
        return bytes > MemoryLimits.SMALL_BYTES;
    }

    Holder holder() {
        return holder;
    }

    void hold(long nowMillis) {
        state = State.HELD;
        heldMillis = nowMillis;
        lastArrivalMillis = nowMillis;
    }

    void end() {
        state = State.ENDED;
    }

    void setBytes(long fewerBytes) {
        bytes = fewerBytes;
    }

    /** Whether the body does not arrive at the given pace, or not at all for the given time. */
    boolean stalled(long nowMillis, long silenceMillis, long bytesPerMilli) {
        if (whole || state != State.HELD) {
            return false;
        }
        boolean silent = nowMillis - lastArrivalMillis > silenceMillis;
        long paceMillis = nowMillis - heldMillis - silenceMillis;
        return silent || arrivedBytes < paceMillis * bytesPerMilli;
    }
}
