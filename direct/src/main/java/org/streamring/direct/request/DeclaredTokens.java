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
    /** Parses the header; returns empty if it is missing or malformed. */
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
            return prompt < 0 || answer < 0 ? Optional.empty() : Optional.of(new DeclaredTokens(prompt, answer));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    /** Returns the maximum number of tokens that the request may use, prompt and answer together. */
    long maxTotal() {
        return prompt + maxAnswer;
    }
}
