package org.streamring.kernel.admission;

/**
 * Measures the average rate at which slots were released recently, with exponential decay. Confined to one thread.
 */
public final class SlotReleaseRate {
    /** Covers both plain calls, which take about 90 ms, and streams, which take some seconds. */
    private static final double WINDOW_MILLIS = 1_000;

    private double releases;
    private long updatedMillis;

    /** Records that a slot was released. */
    public void recordRelease(long nowMillis) {
        decay(nowMillis);
        releases++;
    }

    /** Returns the average number of slots released per millisecond. */
    public double perMilli(long nowMillis) {
        decay(nowMillis);
        return releases / WINDOW_MILLIS;
    }

    private void decay(long nowMillis) {
        releases *= Math.exp(-(nowMillis - updatedMillis) / WINDOW_MILLIS);
        updatedMillis = nowMillis;
    }
}
