package org.streamring.kernel.suspect;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** What is known of one request: which servers ended while they ran it, and what speaks against it as the cause. */
final class Evidence {
    private final Map<String, Integer> crashes = new HashMap<>();
    private final Set<String> cleared = new HashSet<>();
    private long lastCrashMillis;

    /** Creates one without a crash, which is kept as long as if there had been one now. */
    Evidence(long nowMillis) {
        lastCrashMillis = nowMillis;
    }

    /**
     * Adds a crash; one that is known already changes nothing.
     *
     * @param round the round of attempts in which it was sent
     * @return whether it is news
     */
    boolean add(String server, int round, long nowMillis) {
        boolean isNew = !crashes.containsKey(server);
        crashes.merge(server, round, Math::max);
        if (isNew) {
            lastCrashMillis = nowMillis;
        }
        return isNew;
    }

    /** Takes a crash back, as the server has not ended. */
    void takeBack(String server) {
        crashes.remove(server);
    }

    /** Clears the request of crashes; it may be known to be innocent of those before they are told. */
    void clear(Set<String> servers) {
        cleared.addAll(servers);
    }

    /** Clears the request of all that is known so far. */
    void clearAll() {
        cleared.addAll(crashes.keySet());
    }

    /** Servers that ended under the request, and of which it was not cleared. */
    Set<String> open() {
        Set<String> open = new HashSet<>(crashes.keySet());
        open.removeAll(cleared);
        return open;
    }

    /** Number of servers that ended under the request, and of which it was not cleared. */
    int openCount() {
        return open().size();
    }

    /** The latest round of attempts in which a server ended, 0 if none did. */
    int lastRound() {
        return open().stream().mapToInt(crashes::get).max().orElse(0);
    }

    /**
     * Crashes that speak against the request: those of earlier rounds, and one of the last. A popular request runs on
     * many servers at once, and these may end together for another reason.
     */
    int weight() {
        int last = lastRound();
        long earlier =
                open().stream().filter(server -> crashes.get(server) < last).count();
        return (int) earlier + Math.min(1, last);
    }

    /** Servers that ended under the request, cleared ones too. */
    Set<String> all() {
        return Set.copyOf(crashes.keySet());
    }

    long lastCrashMillis() {
        return lastCrashMillis;
    }
}
