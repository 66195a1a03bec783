package org.streamring.kernel.suspect;

import java.util.Set;

/** Receives the decisions of a {@link SuspectTable}. */
public interface SuspectEvents {
    /**
     * Called when a suspect is blocked because the given servers ended while processing it.
     *
     * @param companions what all attempts held that broke off under the suspect, the suspect included
     */
    void blocked(SuspectId suspect, Set<String> servers, Set<SuspectId> companions);

    /**
     * Called when a suspect is no longer blocked: an entry received an answer to it, its servers turned out to be
     * alive, or its crashes have expired.
     */
    void unblocked(SuspectId suspect);
}
