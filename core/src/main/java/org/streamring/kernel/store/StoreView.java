package org.streamring.kernel.store;

/** What this process knows of a table: its position in the store, and when the store last confirmed it. */
public final class StoreView {
    private StorePosition position = StorePosition.NONE;
    private long confirmedMillis;

    /** Returns the latest position that an answer had; {@link StorePosition#NONE} before the first one. */
    public StorePosition position() {
        return position;
    }

    /** Notes that the table was read at a position, or that it has not changed up to there. */
    public void confirm(StorePosition newPosition, long nowMillis) {
        position = newPosition;
        confirmedMillis = nowMillis;
    }

    /** Returns the milliseconds since the last confirmation, or since the clock started if there was none. */
    public long ageMillis(long nowMillis) {
        return nowMillis - confirmedMillis;
    }
}
