package org.streamring.kernel.placement;

/**
 * Follows the median of a series of positive samples without keeping them: each sample moves it by a fixed part
 * towards itself. A rare extreme sample thus moves it no further than a common one. Confined to one thread.
 */
final class RunningMedian {
    private final double step;
    private double value;
    private int samples;

    /**
     * Creates one.
     *
     * @param initial value before the first sample
     * @param step part by which a sample moves it; the larger, the faster and the less steady
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
