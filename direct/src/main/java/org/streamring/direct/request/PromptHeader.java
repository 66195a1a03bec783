package org.streamring.direct.request;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.streamring.kernel.placement.Prompt;
import org.streamring.kernel.placement.PromptPart;
import org.streamring.platform.node.ForwardingHeaders;

/**
 * Reads the description of a prompt from the headers.
 *
 * <p>One header lists the parts of the prompt as comma-separated {@code id:tokens} pairs.
 */
final class PromptHeader {
    private static final int MAX_SHARED_PARTS = 512;

    private PromptHeader() {}

    /**
     * Returns the prompt of a request. The first malformed part and all parts after it are ignored, as parts are used
     * only to save prompt processing.
     */
    static Prompt read(HttpHeaders headers, ForwardingHeaders names, Optional<DeclaredTokens> tokens) {
        if (tokens.isEmpty()) {
            return Prompt.NONE;
        }
        DeclaredTokens declared = tokens.get();
        List<PromptPart> parts = parts(headers.get(names.promptParts(), ""));
        long hint = tokens(headers.get(names.lengthHint(), "")).orElse(declared.maxAnswer());
        return new Prompt(parts, declared.prompt(), declared.maxAnswer(), Math.min(hint, declared.maxAnswer()));
    }

    /**
     * Returns the identifiers of the parts that other prompts may share: all except the last, each once. Of a prompt
     * with very many parts, those in the middle are left out.
     */
    static List<String> sharedPartIds(HttpHeaders headers, ForwardingHeaders names) {
        List<String> ids = Stream.of(headers.get(names.promptParts(), "").split(",", -1))
                .map(PromptHeader::partId)
                .toList();
        List<String> shared = ids.subList(0, ids.size() - 1).stream()
                .filter(id -> !id.isEmpty())
                .distinct()
                .toList();
        if (shared.size() <= MAX_SHARED_PARTS) {
            return shared;
        }
        return Stream.concat(
                        shared.stream().limit(MAX_SHARED_PARTS / 2),
                        shared.stream().skip(shared.size() - MAX_SHARED_PARTS / 2))
                .toList();
    }

    private static String partId(String text) {
        int colon = text.indexOf(':');
        return (colon < 0 ? text : text.substring(0, colon)).trim();
    }

    private static List<PromptPart> parts(String header) {
        List<PromptPart> parts = new ArrayList<>();
        for (String text : header.split(",", -1)) {
            Optional<PromptPart> part = part(text.trim());
            if (part.isEmpty()) {
                return parts;
            }
            parts.add(part.get());
        }
        return parts;
    }

    private static Optional<PromptPart> part(String text) {
        int colon = text.indexOf(':');
        if (colon < 1) {
            return Optional.empty();
        }
        String id = text.substring(0, colon);
        OptionalLong tokens = tokens(text.substring(colon + 1));
        return tokens.isPresent() ? Optional.of(new PromptPart(id, tokens.getAsLong())) : Optional.empty();
    }

    private static OptionalLong tokens(String text) {
        try {
            long tokens = Long.parseLong(text.trim());
            return tokens < 0 ? OptionalLong.empty() : OptionalLong.of(tokens);
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
