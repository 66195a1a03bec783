package org.streamring.direct.backend;

import java.util.Arrays;

/**
 * When the newest request of each urgency was sent that a backend server has begun to answer.
 *
 * <p>A server takes more urgent requests first, so only answers to equally or less urgent ones show that it could have
 * answered an earlier request as well. Confined to one thread.
 */
final class RecentAnswers {
    /** Urgencies of the platform, 0 being the most urgent. */
    private static final int URGENCIES = 10;

    private final long[] newestSentMillis = new long[URGENCIES];

    RecentAnswers() {
        Arrays.fill(newestSentMillis, Long.MIN_VALUE);
    }

    /** Notes that a request has begun to be answered. */
    void add(int urgency, long sentMillis) {
        newestSentMillis[urgency] = Math.max(newestSentMillis[urgency], sentMillis);
    }

    /** Whether a request was answered that was sent after a moment and is not more urgent. */
    boolean overtook(int urgency, long quietSinceMillis) {
        return Arrays.stream(newestSentMillis, urgency, URGENCIES).anyMatch(sent -> sent > quietSinceMillis);
    }
}
