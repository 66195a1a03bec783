package org.streamring.kernel.placement;

import java.util.List;
import java.util.Optional;

/**
 * The prompt of a request, and the length of its answer.
 *
 * @param parts parts of the prompt in order, empty if unknown; the last one is used only by this request or its session
 * @param tokens length of the prompt in tokens; 0 for a request to a plain service
 * @param answerTokens maximum length of the answer in tokens
 * @param likelyAnswerTokens length of the answer that the caller expects, in tokens
 */
public record Prompt(List<PromptPart> parts, long tokens, long answerTokens, long likelyAnswerTokens) {
    /** Empty prompt of a request to a plain service. */
    public static final Prompt NONE = new Prompt(List.of(), 0, 0, 0);

    /** Copies the list. */
    public Prompt {
        parts = List.copyOf(parts);
    }

    /** Returns the last part that other prompts may share, or empty if there is none. */
    public Optional<PromptPart> lastShared() {
        return parts.size() < 2 ? Optional.empty() : Optional.of(parts.get(parts.size() - 2));
    }

    /** Returns the total length in tokens of all parts except the last. */
    public long sharedTokens() {
        return shared().stream().mapToLong(PromptPart::tokens).sum();
    }

    /** Returns all parts except the last. */
    public List<PromptPart> shared() {
        return parts.isEmpty() ? List.of() : parts.subList(0, parts.size() - 1);
    }
}
