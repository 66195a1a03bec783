package org.streamring.kernel.placement;

import java.util.List;

/**
 * A prompt that a replica reads.
 *
 * @param replica identifier of the replica
 * @param parts parts of the prompt that others share, in order
 */
public record PromptRead(String replica, List<PromptPart> parts) {
    /** Copies the list. */
    public PromptRead {
        parts = List.copyOf(parts);
    }
}
