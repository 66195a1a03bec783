package org.streamring.kernel.placement;

/**
 * What was expected of a request at the replica that was chosen for it.
 *
 * @param tokensToRead tokens of its prompt that the replica does not keep
 * @param unreadTokens prompt tokens that the replica had to read before
 * @param firstEventMillis time from its placement to its first event
 * @param pauseProbability how likely a pause makes it late, before {@link PauseCalibration}
 */
public record PlacementForecast(long tokensToRead, long unreadTokens, long firstEventMillis, double pauseProbability) {}
