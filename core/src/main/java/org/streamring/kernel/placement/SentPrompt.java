package org.streamring.kernel.placement;

import java.util.List;

/**
 * A prompt that was sent to a replica.
 *
 * @param replica identifier of the replica
 * @param parts parts of the prompt that other prompts may share, in order
 */
public record SentPrompt(String replica, List<PromptPart> parts) {
    /** Copies the list. */
    public SentPrompt {
        parts = List.copyOf(parts);
    }
}
