package org.streamring.kernel.routing;

import java.time.Duration;

/**
 * Smoothed time that one replica takes for a unit of work: a token of a stream, or a call of a plain service. What is
 * old fades, so that a replica that was slow is tried again. Guarded by {@link ReplicaTable}.
 */
final class Pace {
    private static final double WEIGHT_OF_NEWEST = 0.2;
    private static final int SAMPLES_NEEDED = 4;
    /** Differences below this factor are taken for chance. */
    private static final double TOLERANCE = 1.5;

    private static final double LARGEST_FACTOR = 8;
    private static final long FRESH_MILLIS = Duration.ofSeconds(15).toMillis();
    private static final double FADING_MILLIS = Duration.ofSeconds(30).toMillis();

    private double millisPerUnit;
    private int samples;
    private long newestMillis;

    void add(double newMillisPerUnit, long nowMillis) {
        millisPerUnit =
                samples == 0 ? newMillisPerUnit : millisPerUnit + WEIGHT_OF_NEWEST * (newMillisPerUnit - millisPerUnit);
        samples = Math.min(SAMPLES_NEEDED, samples + 1);
        newestMillis = nowMillis;
    }

    boolean known() {
        return samples >= SAMPLES_NEEDED;
    }

    double millisPerUnit() {
        return millisPerUnit;
    }

    /**
     * By what factor the replica is slower than is typical; 1 if it is not, or if too little is known.
     *
     * @param typicalMillis time per unit of a typical replica of the same service; 0 if that is not known
     */
    double slowness(double typicalMillis, long nowMillis) {
        if (!known() || typicalMillis <= 0) {
            return 1;
        }
        double ratio = Math.min(LARGEST_FACTOR, millisPerUnit / typicalMillis);
        if (ratio < TOLERANCE) {
            return 1;
        }
        double faded = (nowMillis - newestMillis - FRESH_MILLIS) / FADING_MILLIS;
        return 1 + (ratio - 1) * (1 - Math.max(0, Math.min(1, faded)));
    }
}
