package org.streamring.kernel.suspect;

import java.util.LinkedHashMap;
import java.util.Map;

/** Requests, or parts of prompts, that were answered recently. Confined to one thread. */
final class RecentAnswers {
    private final long protectionMillis;
    private final int maxAnswers;
    /** Times of the answers, the oldest first. */
    private final Map<SuspectId, Long> answered = new LinkedHashMap<>();

    /**
     * Creates an instance without answers.
     *
     * @param protectionMillis how long an answer counts as recent, in milliseconds
     * @param maxAnswers maximum number of answers kept
     */
    RecentAnswers(long protectionMillis, int maxAnswers) {
        this.protectionMillis = protectionMillis;
        this.maxAnswers = maxAnswers;
    }

    void add(SuspectId request, long nowMillis) {
        answered.remove(request);
        answered.put(request, nowMillis);
        dropOldest(nowMillis - protectionMillis);
    }

    private void dropOldest(long oldestMillis) {
        while (answered.size() > maxAnswers || oldestAnswer() <= oldestMillis) {
            answered.remove(answered.keySet().iterator().next());
        }
    }

    private long oldestAnswer() {
        return answered.isEmpty()
                ? Long.MAX_VALUE
                : answered.values().iterator().next();
    }

    /** Returns whether there was an answer within the protection time. */
    boolean protects(SuspectId request, long nowMillis) {
        Long last = answered.get(request);
        return last != null && last > nowMillis - protectionMillis;
    }
}
