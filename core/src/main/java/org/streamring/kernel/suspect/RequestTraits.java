package org.streamring.kernel.suspect;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * What a request has in common with its repetitions and with other requests.
 *
 * @param request identity of the request across repetitions
 * @param parts parts of its prompt that other prompts may share, without duplicates
 * @param account client account
 */
public record RequestTraits(SuspectId request, List<SuspectId> parts, SuspectId account) {
    /** Copies the list. */
    public RequestTraits {
        parts = List.copyOf(parts);
    }

    /** Returns everything that may crash the servers which process the request: the request itself and its parts. */
    public Set<SuspectId> suspects() {
        Set<SuspectId> suspects = new LinkedHashSet<>();
        suspects.add(request);
        suspects.addAll(parts);
        return suspects;
    }
}
