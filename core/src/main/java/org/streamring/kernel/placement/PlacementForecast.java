package org.streamring.kernel.placement;

/**
 * Forecast for a request at the replica that was chosen for it.
 *
 * @param uncachedTokens tokens of the prompt that are not in the cache of the replica
 * @param pendingPromptTokens prompt tokens of earlier requests that the replica has to process first
 * @param firstEventMillis time from the placement to the first event
 * @param pauseProbability probability that a pause makes the stream late, not yet corrected by
 *     {@link PauseCalibration}
 */
public record PlacementForecast(
        long uncachedTokens, long pendingPromptTokens, long firstEventMillis, double pauseProbability) {
    /** A healthy replica sends its first event within this multiple of the forecast time. */
    private static final int TOLERANCE_FACTOR = 3;

    /** Whether a healthy replica may still be processing the prompt; it sends nothing meanwhile. */
    public boolean mayBeReadingPrompt(long sincePlacementMillis) {
        return sincePlacementMillis < TOLERANCE_FACTOR * firstEventMillis;
    }
}
