package org.streamring.kernel.suspect;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** Crashes that this entry observed itself and reports to the other entries. Confined to one thread. */
final class LocalObservations {
    /** Number of crashes reported. */
    private static final int MAX_CRASHES = 48;
    /**
     * Number of suspects reported, summed over all crashes: with some 40 bytes for each, at most 36 kB of the 64 kB
     * that a row of the store holds.
     */
    private static final int MAX_SUSPECTS = 900;
    /** Number of suspects reported as cleared, and of crashes for each. */
    private static final int MAX_CLEARED = 64;

    private static final int MAX_SERVERS_PER_CLEARED = 12;

    /** Attempts by request, by incarnation of the server, the oldest crash first. */
    private final Map<String, Map<SuspectId, BrokenAttempt>> crashes = new LinkedHashMap<>();

    private final Map<String, Long> millisByCrash = new HashMap<>();
    private final Map<SuspectId, Set<String>> cleared = new LinkedHashMap<>();
    /** Observations that were not sent to the connected entries yet. */
    private final Map<String, List<BrokenAttempt>> unsentCrashes = new HashMap<>();

    private final Map<SuspectId, Set<String>> unsentCleared = new HashMap<>();
    private boolean changedSinceReport;

    void ended(String server, List<BrokenAttempt> attempts, long nowMillis) {
        Map<SuspectId, BrokenAttempt> reported = crashes.containsKey(server) ? crashes.remove(server) : new HashMap<>();
        attempts.forEach(attempt -> reported.merge(attempt.request(), attempt, BrokenAttempt::merge));
        crashes.put(server, reported);
        millisByCrash.put(server, nowMillis);
        unsentCrashes.put(server, List.copyOf(reported.values()));
        changedSinceReport = true;
        trim();
    }

    /** Drops attempts whose suspects occur in one crash only, and then whole crashes, the oldest first. */
    private void trim() {
        if (!isTooLarge()) {
            return;
        }
        Set<SuspectId> repeated = suspectsOfSeveralCrashes();
        List<String> olderCrashes = List.copyOf(crashes.keySet()).subList(0, crashes.size() - 1);
        for (String server : olderCrashes) {
            if (isTooLarge()) {
                dropUnrepeated(server, repeated);
            }
        }
        while (isTooLarge()) {
            dropCrash(crashes.keySet().iterator().next());
        }
    }

    private boolean isTooLarge() {
        return crashes.size() > MAX_CRASHES || (crashes.size() > 1 && suspectCount() > MAX_SUSPECTS);
    }

    private void dropUnrepeated(String server, Set<SuspectId> repeated) {
        Map<SuspectId, BrokenAttempt> attempts = crashes.getOrDefault(server, Map.of());
        attempts.values().removeIf(attempt -> attempt.rounds().keySet().stream().noneMatch(repeated::contains));
        if (attempts.isEmpty()) {
            dropCrash(server);
        }
    }

    private void dropCrash(String server) {
        crashes.remove(server);
        millisByCrash.remove(server);
    }

    private int suspectCount() {
        return crashes.values().stream()
                .flatMap(attempts -> attempts.values().stream())
                .mapToInt(attempt -> attempt.rounds().size())
                .sum();
    }

    private Set<SuspectId> suspectsOfSeveralCrashes() {
        Set<SuspectId> seen = new HashSet<>();
        Set<SuspectId> repeated = new HashSet<>();
        for (Map<SuspectId, BrokenAttempt> attempts : crashes.values()) {
            Set<SuspectId> ofCrash = new HashSet<>();
            attempts.values().forEach(attempt -> ofCrash.addAll(attempt.rounds().keySet()));
            ofCrash.stream().filter(suspect -> !seen.add(suspect)).forEach(repeated::add);
        }
        return repeated;
    }

    /** Reports to the other entries that a suspect is cleared of crashes. */
    void cleared(SuspectId suspect, Collection<String> servers) {
        Set<String> reported = cleared.computeIfAbsent(suspect, any -> new HashSet<>());
        Set<String> added = new HashSet<>(servers);
        added.removeAll(reported);
        if (added.isEmpty()) {
            return;
        }
        reported.addAll(added);
        Iterator<String> surplus = reported.iterator();
        while (reported.size() > MAX_SERVERS_PER_CLEARED) {
            surplus.next();
            surplus.remove();
        }
        unsentCleared.computeIfAbsent(suspect, any -> new HashSet<>()).addAll(added);
        changedSinceReport = true;
        if (cleared.size() > MAX_CLEARED) {
            cleared.remove(cleared.keySet().iterator().next());
        }
    }

    /** Removes a suspect from reported crashes; entries that received them already keep them. */
    void remove(SuspectId suspect, Collection<String> servers) {
        for (String server : servers) {
            Map<SuspectId, BrokenAttempt> attempts = crashes.getOrDefault(server, Map.of());
            if (attempts.values().stream().anyMatch(attempt -> attempt.rounds().containsKey(suspect))) {
                attempts.replaceAll((request, attempt) -> attempt.without(suspect));
                attempts.values().removeIf(attempt -> attempt.rounds().isEmpty());
                changedSinceReport = true;
            }
        }
    }

    void forgetCleared(SuspectId suspect) {
        changedSinceReport |= cleared.remove(suspect) != null;
    }

    void resume(SuspectReport earlier, long nowMillis) {
        earlier.crashes().forEach((server, attempts) -> ended(server, attempts, nowMillis));
        earlier.cleared().forEach(this::cleared);
        unsentCrashes.clear();
        unsentCleared.clear();
        changedSinceReport = false;
    }

    /** Removes suspects that are no longer known from crashes recorded at or before the given time. */
    void expire(long oldestMillis, Predicate<SuspectId> known) {
        crashes.forEach((server, attempts) -> {
            if (millisByCrash.getOrDefault(server, 0L) <= oldestMillis) {
                changedSinceReport |= attempts.values()
                        .removeIf(attempt -> attempt.rounds().keySet().stream().noneMatch(known));
            }
        });
        crashes.values().removeIf(Map::isEmpty);
        millisByCrash.keySet().retainAll(crashes.keySet());
    }

    /** Returns all observations. */
    SuspectReport report() {
        changedSinceReport = false;
        Map<String, List<BrokenAttempt>> reported = new HashMap<>();
        crashes.forEach((server, attempts) -> reported.put(server, List.copyOf(attempts.values())));
        return new SuspectReport(reported, cleared);
    }

    /** Returns the observations made since the last call. */
    SuspectReport takeUnsent() {
        SuspectReport unsent = new SuspectReport(unsentCrashes, unsentCleared);
        unsentCrashes.clear();
        unsentCleared.clear();
        return unsent;
    }

    boolean hasUnsent() {
        return !unsentCrashes.isEmpty() || !unsentCleared.isEmpty();
    }

    boolean hasChanged() {
        return changedSinceReport;
    }
}
