package org.streamring.kernel.suspect;

/**
 * Limits for blocking one kind of suspects.
 *
 * @param crashes number of server crashes without an answer since, from which a suspect is blocked
 * @param lastCrashes number of crashes after which a suspect is not tried again, and another one that accounts for the
 *     same crashes no longer excuses it
 * @param firstBlockMillis how long a suspect is blocked after the crash that reached the limit; doubles with each
 *     further crash
 * @param firstBlockAfterAnswersMillis the same for a suspect that was answered shortly before its first crash, and is
 *     more likely to be sound
 */
public record BlockLimits(int crashes, int lastCrashes, long firstBlockMillis, long firstBlockAfterAnswersMillis) {}
