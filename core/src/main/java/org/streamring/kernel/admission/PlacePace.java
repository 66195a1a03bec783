package org.streamring.kernel.admission;

/**
 * How many places became free lately, in a millisecond on average. Confined to one thread.
 */
public final class PlacePace {
    /** Plain calls take some 90 ms and streams some seconds; a second shows both. */
    private static final double WINDOW_MILLIS = 1_000;

    private double freed;
    private long updatedMillis;

    /** Notes that a place became free. */
    public void freed(long nowMillis) {
        decay(nowMillis);
        freed++;
    }

    /** Places that became free in a millisecond. */
    public double perMilli(long nowMillis) {
        decay(nowMillis);
        return freed / WINDOW_MILLIS;
    }

    private void decay(long nowMillis) {
        freed *= Math.exp(-(nowMillis - updatedMillis) / WINDOW_MILLIS);
        updatedMillis = nowMillis;
    }
}
