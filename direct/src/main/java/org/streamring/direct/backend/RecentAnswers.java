package org.streamring.direct.backend;

import java.util.Arrays;

/**
 * Records for each urgency the latest send time of the requests that a backend server has started to answer.
 *
 * <p>A server processes more urgent requests first. Only an answer to an equally or less urgent request therefore shows
 * that the server could have answered an earlier request as well. Confined to one thread.
 */
final class RecentAnswers {
    /** Number of urgency levels of the platform; 0 is the most urgent. */
    private static final int URGENCY_LEVELS = 10;

    private final long[] latestSentMillis = new long[URGENCY_LEVELS];

    RecentAnswers() {
        Arrays.fill(latestSentMillis, Long.MIN_VALUE);
    }

    /** Records that the server has started to answer a request. */
    void add(int urgency, long sentMillis) {
        latestSentMillis[urgency] = Math.max(latestSentMillis[urgency], sentMillis);
    }

    /** Returns whether a request that was sent after the given time and is not more urgent has been answered. */
    boolean answeredLaterRequest(int urgency, long sinceMillis) {
        return Arrays.stream(latestSentMillis, urgency, URGENCY_LEVELS).anyMatch(sent -> sent > sinceMillis);
    }
}
