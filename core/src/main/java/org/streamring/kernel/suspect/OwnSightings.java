package org.streamring.kernel.suspect;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** What this entry tells the others of crashes that it has seen. Confined to one thread. */
final class OwnSightings {
    /** Crashes that are told with all their requests; a row of the store holds 64 kB, these take 22 kB at most. */
    private static final int MOST_CRASHES = 16;
    /** Older ones are told with those requests only that were under suspicion before. */
    private static final int MOST_OLDER_CRASHES = 32;
    /** Requests that are told with one crash: those that ran on an engine of 64 slots. */
    private static final int MOST_REQUESTS = 64;
    /** Requests that are told as cleared. */
    private static final int MOST_CLEARED = 64;

    /** The oldest first. */
    private final Map<String, Sighting> crashes = new LinkedHashMap<>();

    private final Map<RequestDigest, Set<String>> cleared = new LinkedHashMap<>();
    private boolean news;
    private boolean changed;

    private record Sighting(Map<RequestDigest, Integer> requests, long millis) {}

    void ended(String server, Map<RequestDigest, Integer> requests, long nowMillis) {
        Map<RequestDigest, Integer> told = new HashMap<>();
        Sighting before = crashes.remove(server);
        if (before != null) {
            told.putAll(before.requests());
        }
        requests.forEach((request, round) -> {
            if (told.size() < MOST_REQUESTS || told.containsKey(request) || round > 1) {
                told.merge(request, round, Math::max);
            }
        });
        crashes.put(server, new Sighting(told, nowMillis));
        thinOlder();
        news = true;
        changed = true;
    }

    private void thinOlder() {
        crashes.values().stream()
                .limit(Math.max(0, crashes.size() - MOST_CRASHES))
                .forEach(older -> older.requests().values().removeIf(round -> round == 1));
        crashes.values().removeIf(sighting -> sighting.requests().isEmpty());
        dropOldest(crashes, MOST_CRASHES + MOST_OLDER_CRASHES);
    }

    void cleared(RequestDigest request, Set<String> servers) {
        boolean added = cleared.computeIfAbsent(request, any -> new HashSet<>()).addAll(servers);
        news |= added;
        changed |= added;
        dropOldest(cleared, MOST_CLEARED);
    }

    /** No longer tells crashes under a request; who has heard of them keeps them. */
    void forgive(RequestDigest request) {
        crashes.values().forEach(sighting -> changed |= sighting.requests().remove(request) != null);
    }

    void forgetCleared(RequestDigest request) {
        changed |= cleared.remove(request) != null;
    }

    void resume(SuspectReport earlier, long nowMillis) {
        earlier.crashes().forEach((server, requests) -> ended(server, requests, nowMillis));
        earlier.cleared().forEach(this::cleared);
        news = false;
        changed = false;
    }

    void expire(long oldestMillis) {
        changed |= crashes.values().removeIf(sighting -> sighting.millis() <= oldestMillis);
    }

    SuspectReport report() {
        Map<String, Map<RequestDigest, Integer>> told = new HashMap<>();
        news = false;
        changed = false;
        crashes.forEach((server, sighting) -> told.put(server, sighting.requests()));
        return new SuspectReport(told, cleared);
    }

    boolean hasNews() {
        return news;
    }

    boolean hasChanged() {
        return changed;
    }

    private static <K, V> void dropOldest(Map<K, V> map, int most) {
        while (map.size() > most) {
            map.remove(map.keySet().iterator().next());
        }
    }
}
