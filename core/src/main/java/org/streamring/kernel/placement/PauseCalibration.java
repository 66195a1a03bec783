package org.streamring.kernel.placement;

/**
 * By what factor the streams of a service become late by pauses more rarely, or more often, than is forecast.
 *
 * <p>How an engine mixes reading with answering is not known to its callers: it may read long prompts in pieces so
 * small that streams hardly notice. Confined to one thread.
 */
final class PauseCalibration {
    /** Before the first streams ended; a guess, which a dozen streams replace. */
    private static final double INITIAL_FACTOR = 0.3;
    /** A dozen streams settle the factor. */
    private static final double STEP = 0.1;
    /** Forecasts near zero say little about the factor. */
    private static final double SMALL_FORECAST = 0.05;

    private static final double LEAST = 0.01;
    private static final double MOST = 3;

    private double factor = INITIAL_FACTOR;

    /**
     * Notes a stream that ended.
     *
     * @param forecast probability of a pause that was forecast, without this factor
     * @param late whether a pause came
     */
    void ended(double forecast, boolean late) {
        double error = (late ? 1 : 0) - Math.min(1, factor * forecast);
        double change = STEP * error * forecast / (forecast * forecast + SMALL_FORECAST);
        factor = Math.max(LEAST, Math.min(MOST, factor + change));
    }

    double factor() {
        return factor;
    }
}
