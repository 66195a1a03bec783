package org.streamring.kernel.suspect;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Crashes recorded for one request: servers that ended while they ran it, and those for which it is cleared. */
final class Evidence {
    private final Map<String, Integer> crashes = new HashMap<>();
    private final Set<String> cleared = new HashSet<>();
    private long lastCrashMillis;

    /** Creates an instance without crashes, which is kept as long as if a crash had just been recorded. */
    Evidence(long nowMillis) {
        lastCrashMillis = nowMillis;
    }

    /**
     * Adds a crash. A server that is recorded already only keeps the later of the two rounds.
     *
     * @param round round of attempts in which the request was sent to the server
     * @return whether the crash was not recorded before
     */
    boolean add(String server, int round, long nowMillis) {
        boolean isNew = !crashes.containsKey(server);
        crashes.merge(server, round, Math::max);
        if (isNew) {
            lastCrashMillis = nowMillis;
        }
        return isNew;
    }

    /** Removes a crash, as the server has not ended. */
    void remove(String server) {
        crashes.remove(server);
    }

    /** Clears the request of the given crashes, including crashes that are reported only later. */
    void clear(Set<String> servers) {
        cleared.addAll(servers);
    }

    /** Clears the request of all crashes recorded so far. */
    void clearAll() {
        cleared.addAll(crashes.keySet());
    }

    /** Returns the servers that ended while running the request and for which it was not cleared. */
    Set<String> uncleared() {
        Set<String> uncleared = new HashSet<>(crashes.keySet());
        uncleared.removeAll(cleared);
        return uncleared;
    }

    /** Returns the number of servers that ended while running the request and for which it was not cleared. */
    int unclearedCount() {
        return uncleared().size();
    }

    /** Returns the latest round of attempts with a crash for which the request was not cleared; 0 if there is none. */
    int lastRound() {
        return uncleared().stream().mapToInt(crashes::get).max().orElse(0);
    }

    /**
     * Returns the number of crashes counted against the request: all of earlier rounds, and at most one of the last
     * round. A popular request runs on many servers at once, and these may end together for another reason.
     */
    int countedCrashes() {
        int last = lastRound();
        long earlier = uncleared().stream()
                .filter(server -> crashes.get(server) < last)
                .count();
        return (int) earlier + Math.min(1, last);
    }

    /** Returns all servers that ended while running the request, including those for which it was cleared. */
    Set<String> allServers() {
        return Set.copyOf(crashes.keySet());
    }

    long lastCrashMillis() {
        return lastCrashMillis;
    }
}
