package org.streamring.kernel.stream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Values that each key has had recently. Confined to one thread. */
final class RecentValues {
    private final long retentionMillis;
    private final Map<String, Map<String, Span>> spans = new HashMap<>();

    /** Times at which a value was first and last seen. */
    private record Span(long firstMillis, long lastMillis) {
        Span extendedTo(long nowMillis) {
            return new Span(firstMillis, nowMillis);
        }
    }

    /**
     * Creates an instance without values.
     *
     * @param retentionMillis time for which a value is kept after it was last seen
     */
    RecentValues(long retentionMillis) {
        this.retentionMillis = retentionMillis;
    }

    /** Records that a key has a value now. */
    void seen(String key, String value, long nowMillis) {
        spans.computeIfAbsent(key, each -> new HashMap<>())
                .merge(value, new Span(nowMillis, nowMillis), (before, now) -> before.extendedTo(nowMillis));
    }

    /** Removes the values that were last seen before the retention period. */
    void expire(long nowMillis) {
        long oldestMillis = nowMillis - retentionMillis;
        spans.values().forEach(values -> values.values().removeIf(span -> span.lastMillis() < oldestMillis));
        spans.values().removeIf(Map::isEmpty);
    }

    /**
     * Returns the value that a key has had, alone, during the whole of a period that ends now.
     *
     * @param periodMillis length of the period, at most the retention period
     * @return the value, or empty if there were several or none, or if the key was not seen before the period
     */
    Optional<String> only(String key, long periodMillis, long nowMillis) {
        long startMillis = nowMillis - Math.min(periodMillis, retentionMillis);
        List<Map.Entry<String, Span>> recent = spans.getOrDefault(key, Map.of()).entrySet().stream()
                .filter(each -> each.getValue().lastMillis() >= startMillis)
                .toList();
        return recent.stream()
                .filter(each -> recent.size() == 1 && each.getValue().firstMillis() <= startMillis)
                .map(Map.Entry::getKey)
                .findFirst();
    }
}
