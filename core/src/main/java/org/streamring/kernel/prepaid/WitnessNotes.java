package org.streamring.kernel.prepaid;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What other entries noted here that they may use beyond their marks while the store is silent. Once a successor has
 * asked, its predecessor notes nothing more, so that the answer stays true. Nothing is forgotten as long as this
 * process lives, since an answer without a note means that none was made. Confined to one thread.
 */
public final class WitnessNotes {
    /** Restarts of all entries in a process's life stay far below this; beyond it new notes are refused. */
    private static final int MOST_INCARNATIONS = 2_000;

    private final Map<String, Map<String, Long>> notes = new HashMap<>();
    private final Set<String> closed = new HashSet<>();

    /**
     * Notes what an incarnation may use.
     *
     * @param tokens tokens of its grants by account
     * @return false if its successor has asked already, or nothing more can be kept; it must not use them then
     */
    public boolean note(String incarnation, Map<String, Long> tokens) {
        boolean full = !notes.containsKey(incarnation) && notes.size() >= MOST_INCARNATIONS;
        if (closed.contains(incarnation) || full) {
            return false;
        }
        Map<String, Long> noted = notes.computeIfAbsent(incarnation, key -> new HashMap<>());
        tokens.forEach((account, amount) -> noted.merge(account, amount, Math::max));
        return true;
    }

    /** Tells what an incarnation noted, and refuses its notes from now on. */
    public Map<String, Long> close(String incarnation) {
        closed.add(incarnation);
        return Map.copyOf(notes.getOrDefault(incarnation, Map.of()));
    }
}
