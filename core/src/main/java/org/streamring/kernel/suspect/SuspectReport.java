package org.streamring.kernel.suspect;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Crashes observed by one entry, for all other entries. Reports are merged by union, so they may arrive in any order
 * and repeatedly.
 *
 * @param crashes requests that ran on each server that ended, by incarnation of the server, with the round of attempts
 *     in which each was sent: one more than the latest round in which a recorded crash occurred under the request
 * @param cleared incarnations whose crashes don't count against a request, as it was answered completely elsewhere
 */
public record SuspectReport(Map<String, Map<SuspectId, Integer>> crashes, Map<SuspectId, Set<String>> cleared) {
    /** Copies the maps, so that the report is immutable. */
    public SuspectReport {
        Map<String, Map<SuspectId, Integer>> crashesCopy = new HashMap<>();
        crashes.forEach((server, requests) -> crashesCopy.put(server, Map.copyOf(requests)));
        Map<SuspectId, Set<String>> clearedCopy = new HashMap<>();
        cleared.forEach((request, servers) -> clearedCopy.put(request, Set.copyOf(servers)));
        crashes = Map.copyOf(crashesCopy);
        cleared = Map.copyOf(clearedCopy);
    }

    /** Returns a report without crashes. */
    public static SuspectReport empty() {
        return new SuspectReport(Map.of(), Map.of());
    }
}
