package org.streamring.kernel.suspect;

import java.util.Set;

/** Hears what a {@link SuspectTable} decides. */
public interface SuspectEvents {
    /** A request is no longer sent, as these servers ended under it. */
    void blocked(RequestDigest request, Set<String> servers);

    /** A request is sent again: it was answered whole at some entry, its servers live, or its crashes are long ago. */
    void unblocked(RequestDigest request);
}
