package org.streamring.kernel.placement;

import java.util.List;
import java.util.Optional;

/**
 * The prompt of a request, and what may be asked of the replica after it.
 *
 * @param parts its parts in order, if they are known; the last one belongs to this request or its session alone
 * @param tokens its length; 0 for a plain request
 * @param answerTokens most tokens of the answer
 * @param likelyAnswerTokens tokens of the answer that its caller expects
 */
public record Prompt(List<PromptPart> parts, long tokens, long answerTokens, long likelyAnswerTokens) {
    /** No prompt: a request to a plain service. */
    public static final Prompt NONE = new Prompt(List.of(), 0, 0, 0);

    /** Copies the list. */
    public Prompt {
        parts = List.copyOf(parts);
    }

    /** The last part that other prompts share. */
    public Optional<PromptPart> lastShared() {
        return parts.size() < 2 ? Optional.empty() : Optional.of(parts.get(parts.size() - 2));
    }

    /** Tokens of all parts but the last. */
    public long sharedTokens() {
        return shared().stream().mapToLong(PromptPart::tokens).sum();
    }

    /** All parts but the last. */
    public List<PromptPart> shared() {
        return parts.isEmpty() ? List.of() : parts.subList(0, parts.size() - 1);
    }
}
