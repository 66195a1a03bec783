package org.streamring.kernel.placement;

/**
 * Ratio between the observed and the forecast probability that a pause makes a stream of a service late.
 *
 * <p>How an engine schedules prompt processing relative to answers is not visible to its callers: it may process long
 * prompts in chunks so small that running streams are hardly delayed. Confined to one thread.
 */
final class PauseCalibration {
    /** Used until about a dozen streams have ended. */
    private static final double INITIAL_FACTOR = 0.3;
    /** The factor converges after about a dozen streams. */
    private static final double STEP = 0.1;
    /** Reduces the effect of forecasts near zero, which give little information about the factor. */
    private static final double FORECAST_DAMPING = 0.05;

    private static final double MIN_FACTOR = 0.01;
    private static final double MAX_FACTOR = 3;

    private double factor = INITIAL_FACTOR;

    /**
     * Updates the factor with a stream that ended.
     *
     * @param forecast forecast probability of a pause, without this factor
     * @param late whether a pause occurred
     */
    void ended(double forecast, boolean late) {
        double error = (late ? 1 : 0) - Math.min(1, factor * forecast);
        double change = STEP * error * forecast / (forecast * forecast + FORECAST_DAMPING);
        factor = Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, factor + change));
    }

    double factor() {
        return factor;
    }
}
