package org.streamring.kernel.routing;

import java.time.Duration;

/**
 * Moving average of the time that one replica takes for a unit of work: a token of a stream, or a call of a plain
 * service. Old samples lose their effect, so that a replica that was slow is tried again. Guarded by the lock of
 * {@link ReplicaTable}.
 */
final class AverageServiceTime {
    private static final double WEIGHT_OF_NEWEST = 0.2;
    private static final int SAMPLES_NEEDED = 4;
    /** Ratios to the typical replica below this value are treated as random variation. */
    private static final double MIN_SLOWNESS_RATIO = 1.5;

    private static final double LARGEST_FACTOR = 8;
    private static final long FULL_EFFECT_MILLIS = Duration.ofSeconds(15).toMillis();
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

    boolean hasEnoughSamples() {
        return samples >= SAMPLES_NEEDED;
    }

    double millisPerUnit() {
        return millisPerUnit;
    }

    /**
     * Returns the factor by which the replica is slower than a typical one; 1 if it is not slower, or if there are too
     * few samples.
     *
     * @param typicalMillis time per unit of a typical replica of the same service; 0 if unknown
     */
    double slownessFactor(double typicalMillis, long nowMillis) {
        if (!hasEnoughSamples() || typicalMillis <= 0) {
            return 1;
        }
        double ratio = Math.min(LARGEST_FACTOR, millisPerUnit / typicalMillis);
        if (ratio < MIN_SLOWNESS_RATIO) {
            return 1;
        }
        double faded = (nowMillis - newestMillis - FULL_EFFECT_MILLIS) / FADING_MILLIS;
        return 1 + (ratio - 1) * (1 - Math.max(0, Math.min(1, faded)));
    }
}
