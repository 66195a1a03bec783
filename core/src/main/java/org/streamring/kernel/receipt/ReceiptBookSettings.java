package org.streamring.kernel.receipt;

import java.time.Duration;

/**
 * Limits of a sidecar's memory and work.
 *
 * @param maxRunning most attempts in progress for the most urgent class
 * @param answerRetention how long a kept answer is held
 * @param answerBytes most bytes of kept answers
 * @param onceRetention how long it is remembered that a not repeatable request ran or was refused
 * @param maxRemembered most requests remembered
 */
public record ReceiptBookSettings(
        int maxRunning, Duration answerRetention, long answerBytes, Duration onceRetention, int maxRemembered) {
    /** Defaults for one backend server. */
    public static ReceiptBookSettings defaults() {
        return new ReceiptBookSettings(64, Duration.ofMinutes(10), 16L << 20, Duration.ofHours(24), 200_000);
    }
}
