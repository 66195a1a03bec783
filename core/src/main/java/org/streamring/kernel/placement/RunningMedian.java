package org.streamring.kernel.placement;

/**
 * Estimates the median of a series of positive samples without storing them: each sample moves the estimate towards
 * itself by at most a fixed ratio, so a rare outlier moves it no further than a common sample. Confined to one thread.
 */
final class RunningMedian {
    private final double step;
    private double value;
    private int samples;

    /**
     * Creates an estimator.
     *
     * @param initial value before the first sample
     * @param step maximum relative change per sample; larger values adapt faster and fluctuate more
     */
    RunningMedian(double initial, double step) {
        this.value = initial;
        this.step = step;
    }

    void add(double sample) {
        samples++;
        if (sample > value) {
            value = Math.min(sample, value * (1 + step));
        } else {
            value = Math.max(sample, value / (1 + step));
        }
    }

    double value() {
        return value;
    }

    int samples() {
        return samples;
    }
}
