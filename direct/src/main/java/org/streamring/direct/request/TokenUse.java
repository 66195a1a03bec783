package org.streamring.direct.request;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Tokens of a request, as its caller declares them.
 *
 * @param prompt tokens of the prompt
 * @param mostAnswer most tokens of the answer
 */
record TokenUse(long prompt, long mostAnswer) {
    /** Reads a header; empty if it is missing or malformed. */
    static Optional<TokenUse> parse(@Nullable String header) {
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
            return prompt < 0 || answer < 0 ? Optional.empty() : Optional.of(new TokenUse(prompt, answer));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    /** Tokens at the request's most. */
    long most() {
        return prompt + mostAnswer;
    }
}
