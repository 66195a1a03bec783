package org.streamring.kernel.suspect;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Crashes observed by one entry, for all other entries. Reports are merged by union, so they may arrive in any order
 * and repeatedly.
 *
 * @param crashes attempts that broke off on each server that ended, by incarnation of the server
 * @param cleared incarnations whose crashes don't count against a suspect, as it was answered elsewhere
 */
public record SuspectReport(Map<String, List<BrokenAttempt>> crashes, Map<SuspectId, Set<String>> cleared) {
    /** Copies the maps, so that the report is immutable; the order of the copies is the same in every run. */
    public SuspectReport {
        Map<String, List<BrokenAttempt>> crashesCopy = new TreeMap<>();
        crashes.forEach((server, attempts) -> crashesCopy.put(server, List.copyOf(attempts)));
        Map<SuspectId, Set<String>> clearedCopy = new LinkedHashMap<>();
        cleared.forEach(
                (suspect, servers) -> clearedCopy.put(suspect, Collections.unmodifiableSet(new TreeSet<>(servers))));
        crashes = Collections.unmodifiableMap(crashesCopy);
        cleared = Collections.unmodifiableMap(clearedCopy);
    }

    /** Returns a report without crashes. */
    public static SuspectReport empty() {
        return new SuspectReport(Map.of(), Map.of());
    }

    /** Returns whether the report contains nothing. */
    public boolean isEmpty() {
        return crashes.isEmpty() && cleared.isEmpty();
    }
}
