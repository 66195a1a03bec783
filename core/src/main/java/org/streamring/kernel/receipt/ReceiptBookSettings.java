package org.streamring.kernel.receipt;

import java.time.Duration;

/**
 * Limits on the memory and the concurrent attempts of a sidecar.
 *
 * @param maxRunning maximum number of concurrent attempts for the most urgent class
 * @param answerRetention retention period of kept answers
 * @param answerBytes maximum total size of kept answers in bytes
 * @param nonRepeatableRetention retention period of the record that a non-repeatable request ran or was refused
 * @param maxRecordedRequests maximum number of recorded requests
 */
public record ReceiptBookSettings(
        int maxRunning,
        Duration answerRetention,
        long answerBytes,
        Duration nonRepeatableRetention,
        int maxRecordedRequests) {
    /** Returns the defaults for one backend server. */
    public static ReceiptBookSettings defaults() {
        return new ReceiptBookSettings(64, Duration.ofMinutes(10), 16L << 20, Duration.ofHours(24), 200_000);
    }
}
