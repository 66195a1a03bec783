package org.streamring.kernel.suspect;

import java.util.LinkedHashMap;
import java.util.Map;

/** Which requests were answered whole a short while ago. Confined to one thread. */
final class RecentAnswers {
    private final long speakMillis;
    private final int most;
    /** The longest ago first. */
    private final Map<RequestDigest, Long> answered = new LinkedHashMap<>();

    /**
     * Creates one.
     *
     * @param speakMillis how long an answer speaks for its request
     * @param most answers that are remembered
     */
    RecentAnswers(long speakMillis, int most) {
        this.speakMillis = speakMillis;
        this.most = most;
    }

    void add(RequestDigest request, long nowMillis) {
        answered.remove(request);
        answered.put(request, nowMillis);
        dropOldest(nowMillis - speakMillis);
    }

    private void dropOldest(long oldestMillis) {
        while (answered.size() > most || oldestAnswer() <= oldestMillis) {
            answered.remove(answered.keySet().iterator().next());
        }
    }

    private long oldestAnswer() {
        return answered.isEmpty()
                ? Long.MAX_VALUE
                : answered.values().iterator().next();
    }

    /** Whether a whole answer speaks for a request. */
    boolean speakFor(RequestDigest request, long nowMillis) {
        Long last = answered.get(request);
        return last != null && last > nowMillis - speakMillis;
    }
}
