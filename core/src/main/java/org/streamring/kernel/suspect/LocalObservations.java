package org.streamring.kernel.suspect;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Crashes that this entry observed itself and reports to the other entries. Confined to one thread. */
final class LocalObservations {
    /**
     * Number of crashes reported with all their requests: at most 22 kB, of the 64 kB that a row of the store holds.
     */
    private static final int MAX_CRASHES = 16;
    /** Number of older crashes, reported only with the requests that were suspects before. */
    private static final int MAX_OLDER_CRASHES = 32;
    /** Number of requests reported per crash: as many as run on an engine with 64 slots. */
    private static final int MAX_REQUESTS = 64;
    /** Number of requests reported as cleared. */
    private static final int MAX_CLEARED = 64;

    /** Crashes by incarnation of the server, the oldest first. */
    private final Map<String, Crash> crashes = new LinkedHashMap<>();

    private final Map<SuspectId, Set<String>> cleared = new LinkedHashMap<>();
    private boolean urgent;
    private boolean changedSinceReport;

    private record Crash(Map<SuspectId, Integer> requests, long millis) {}

    void ended(String server, Map<SuspectId, Integer> requests, long nowMillis) {
        Map<SuspectId, Integer> reported = new HashMap<>();
        Crash earlier = crashes.remove(server);
        if (earlier != null) {
            reported.putAll(earlier.requests());
        }
        requests.forEach((request, round) -> {
            if (reported.size() < MAX_REQUESTS || reported.containsKey(request) || round > 1) {
                reported.merge(request, round, Math::max);
            }
        });
        crashes.put(server, new Crash(reported, nowMillis));
        trimOlderCrashes();
        urgent = true;
        changedSinceReport = true;
    }

    private void trimOlderCrashes() {
        crashes.values().stream()
                .limit(Math.max(0, crashes.size() - MAX_CRASHES))
                .forEach(older -> older.requests().values().removeIf(round -> round == 1));
        crashes.values().removeIf(crash -> crash.requests().isEmpty());
        dropOldest(crashes, MAX_CRASHES + MAX_OLDER_CRASHES);
    }

    void cleared(SuspectId request, Set<String> servers) {
        boolean added = cleared.computeIfAbsent(request, any -> new HashSet<>()).addAll(servers);
        urgent |= added;
        changedSinceReport |= added;
        dropOldest(cleared, MAX_CLEARED);
    }

    /** Removes a request from the reported crashes; entries that received them already keep them. */
    void removeRequest(SuspectId request) {
        crashes.values().forEach(crash -> changedSinceReport |= crash.requests().remove(request) != null);
    }

    void forgetCleared(SuspectId request) {
        changedSinceReport |= cleared.remove(request) != null;
    }

    void resume(SuspectReport earlier, long nowMillis) {
        earlier.crashes().forEach((server, requests) -> ended(server, requests, nowMillis));
        earlier.cleared().forEach(this::cleared);
        urgent = false;
        changedSinceReport = false;
    }

    void expire(long oldestMillis) {
        changedSinceReport |= crashes.values().removeIf(crash -> crash.millis() <= oldestMillis);
    }

    SuspectReport report() {
        Map<String, Map<SuspectId, Integer>> reported = new HashMap<>();
        urgent = false;
        changedSinceReport = false;
        crashes.forEach((server, crash) -> reported.put(server, crash.requests()));
        return new SuspectReport(reported, cleared);
    }

    boolean isUrgent() {
        return urgent;
    }

    boolean hasChanged() {
        return changedSinceReport;
    }

    private static <K, V> void dropOldest(Map<K, V> map, int maxEntries) {
        while (map.size() > maxEntries) {
            map.remove(map.keySet().iterator().next());
        }
    }
}
