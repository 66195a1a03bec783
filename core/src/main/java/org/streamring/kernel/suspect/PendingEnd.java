package org.streamring.kernel.suspect;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Attempts that broke off on a server whose end is not confirmed yet. The number of suspects is bounded in a way that
 * lets every attempt contribute some, so that a request with very many parts does not displace those of others.
 */
final class PendingEnd {
    private static final int MAX_NEW_SUSPECTS_OF_FIRST = 512;
    private static final int MIN_NEW_SUSPECTS = 8;
    private static final int MAX_ATTEMPTS = 64;

    private final List<BrokenAttempt> attempts = new ArrayList<>();

    /**
     * Adds an attempt.
     *
     * @param suspects suspects of the attempt
     * @param known suspects with earlier crashes, which are always kept
     * @return the attempt with the suspects that are kept
     */
    BrokenAttempt add(SentAttempt sent, List<SuspectId> suspects, Predicate<SuspectId> known) {
        int maxNew = attempts.size() < MAX_ATTEMPTS
                ? Math.max(MIN_NEW_SUSPECTS, MAX_NEW_SUSPECTS_OF_FIRST / (attempts.size() + 1))
                : 0;
        List<SuspectId> unknown = suspects.stream().filter(known.negate()).toList();
        Map<SuspectId, Integer> rounds = new LinkedHashMap<>();
        suspects.stream().filter(known).forEach(suspect -> rounds.put(suspect, sent.round(suspect)));
        firstAndLast(unknown, maxNew).forEach(suspect -> rounds.put(suspect, sent.round(suspect)));
        BrokenAttempt added =
                new BrokenAttempt(sent.traits().request(), sent.traits().account(), rounds);
        attempts.add(added);
        return added;
    }

    private static List<SuspectId> firstAndLast(List<SuspectId> suspects, int max) {
        if (suspects.size() <= max) {
            return suspects;
        }
        List<SuspectId> kept = new ArrayList<>(suspects.subList(0, max / 2));
        kept.addAll(suspects.subList(suspects.size() - max / 2, suspects.size()));
        return kept;
    }

    List<BrokenAttempt> attempts() {
        return attempts;
    }
}
