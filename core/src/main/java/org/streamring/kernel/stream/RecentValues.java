package org.streamring.kernel.stream;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** Values that each key has had recently, with the time at which each was seen last. Confined to one thread. */
final class RecentValues {
    private final long retentionMillis;
    private final Map<String, Map<String, Long>> lastSeenMillis = new HashMap<>();
    private OptionalLong sinceMillis = OptionalLong.empty();

    RecentValues(long retentionMillis) {
        this.retentionMillis = retentionMillis;
    }

    /** Records that the values of all keys are known from now on. */
    void observationStarted(long nowMillis) {
        if (sinceMillis.isEmpty()) {
            sinceMillis = OptionalLong.of(nowMillis);
        }
    }

    /** Records that a key has a value now. */
    void seen(String key, String value, long nowMillis) {
        lastSeenMillis.computeIfAbsent(key, each -> new HashMap<>()).put(value, nowMillis);
    }

    /** Removes the values that were last seen before the retention period. */
    void expire(long nowMillis) {
        lastSeenMillis.values().forEach(values -> values.values().removeIf(seen -> seen < nowMillis - retentionMillis));
        lastSeenMillis.values().removeIf(Map::isEmpty);
    }

    /**
     * Returns the value of a key if it has had no other one during a period that ends now.
     *
     * @param periodMillis length of the period
     * @return the value, or empty if there was none or another one, or if the period is not covered
     */
    Optional<String> only(String key, long periodMillis, long nowMillis) {
        long startMillis = nowMillis - periodMillis;
        boolean covered =
                periodMillis <= retentionMillis && sinceMillis.isPresent() && sinceMillis.getAsLong() <= startMillis;
        if (!covered) {
            return Optional.empty();
        }
        Map<String, Long> values = lastSeenMillis.getOrDefault(key, Map.of());
        long recent =
                values.values().stream().filter(seen -> seen >= startMillis).count();
        return recent != 1
                ? Optional.empty()
                : values.entrySet().stream()
                        .filter(each -> each.getValue() >= startMillis)
                        .map(Map.Entry::getKey)
                        .findFirst();
    }
}
