package org.streamring.kernel.suspect;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * What one entry has seen of crashes, for all others. Reports only add up, so it does not matter in which order or how
 * often they arrive.
 *
 * @param crashes by incarnation of a server that ended, the requests that ran there and the round in which each was
 *     sent: one more than the latest round in which a server was known to have ended under it
 * @param cleared by request, the incarnations of which it is cleared, as it was answered whole elsewhere
 */
public record SuspectReport(Map<String, Map<RequestDigest, Integer>> crashes, Map<RequestDigest, Set<String>> cleared) {
    /** Copies the maps. */
    public SuspectReport {
        Map<String, Map<RequestDigest, Integer>> crashesCopy = new HashMap<>();
        crashes.forEach((server, requests) -> crashesCopy.put(server, Map.copyOf(requests)));
        Map<RequestDigest, Set<String>> clearedCopy = new HashMap<>();
        cleared.forEach((request, servers) -> clearedCopy.put(request, Set.copyOf(servers)));
        crashes = Map.copyOf(crashesCopy);
        cleared = Map.copyOf(clearedCopy);
    }

    /** A report that says nothing. */
    public static SuspectReport empty() {
        return new SuspectReport(Map.of(), Map.of());
    }
}
