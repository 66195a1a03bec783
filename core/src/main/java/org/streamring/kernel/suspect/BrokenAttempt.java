package org.streamring.kernel.suspect;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * An attempt that broke off when a server ended.
 *
 * @param request request of the attempt
 * @param account client account of the request; its digest is empty if it is not known
 * @param rounds suspects of the attempt with the round of attempts of each: one more than the latest round in which a
 *     recorded crash occurred under the suspect
 */
public record BrokenAttempt(SuspectId request, SuspectId account, Map<SuspectId, Integer> rounds) {
    /** Copies the map, in its order. */
    public BrokenAttempt {
        rounds = Collections.unmodifiableMap(new LinkedHashMap<>(rounds));
    }

    /** Returns what the attempt held: its suspects and its account, if that is known. */
    Set<SuspectId> traits() {
        Set<SuspectId> traits = new HashSet<>(rounds.keySet());
        if (!account.digest().isEmpty()) {
            traits.add(account);
        }
        return traits;
    }

    /** Returns this attempt without a suspect. */
    BrokenAttempt without(SuspectId suspect) {
        if (!rounds.containsKey(suspect)) {
            return this;
        }
        Map<SuspectId, Integer> remaining = new HashMap<>(rounds);
        remaining.remove(suspect);
        return new BrokenAttempt(request, account, remaining);
    }

    /** Returns the union of this attempt and another one of the same request. */
    BrokenAttempt merge(BrokenAttempt other) {
        Map<SuspectId, Integer> merged = new HashMap<>(rounds);
        other.rounds.forEach((suspect, round) -> merged.merge(suspect, round, Math::max));
        return new BrokenAttempt(request, account, merged);
    }
}
