package org.streamring.direct.request;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Token counts that the caller declares for a request.
 *
 * @param prompt tokens of the prompt
 * @param maxAnswer maximum tokens of the answer
 */
record DeclaredTokens(long prompt, long maxAnswer) {
    /** Largest count; the sum over all runs of a request does not overflow. */
    private static final long MAX_TOKENS = 1_000_000_000_000L;

    /** Parses the header; returns empty if it is missing, malformed or holds counts that no request can have. */
    static Optional<DeclaredTokens> parse(@Nullable String header) {
        if (header == null) {
            return Optional.empty();
        }
        int comma = header.indexOf(',');
        if (comma < 0) {
            return Optional.empty();
        }
        try {
            long prompt = Long.parseLong(header.substring(0, comma).trim());
            long answer = Long.parseLong(header.substring(comma + 1).trim());
            return isCount(prompt) && isCount(answer)
                    ? Optional.of(new DeclaredTokens(prompt, answer))
                    : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static boolean isCount(long tokens) {
        return tokens >= 0 && tokens <= MAX_TOKENS;
    }

    /** Returns the maximum number of tokens that the request may use, prompt and answer together. */
    long maxTotal() {
        return prompt + maxAnswer;
    }
}
