package org.streamring.kernel.suspect;

import java.util.Set;

/** Receives the decisions of a {@link SuspectTable}. */
public interface SuspectEvents {
    /** Called when a request is blocked because the given servers ended while running it. */
    void blocked(SuspectId request, Set<String> servers);

    /**
     * Called when a request is no longer blocked: an entry received a complete answer to it, its servers turned out to
     * be alive, or its crashes have expired.
     */
    void unblocked(SuspectId request);
}
