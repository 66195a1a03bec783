package org.streamring.direct.request;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.streamring.kernel.placement.Prompt;
import org.streamring.kernel.placement.PromptPart;
import org.streamring.platform.node.ForwardingHeaders;

/** Reads a prompt from its headers; its parts stand in one, identifier and length of each, joined by commas. */
final class PromptHeader {
    private PromptHeader() {}

    /** The prompt of a request; parts from the first malformed one on are passed over, as they only save reading. */
    static Prompt read(HttpHeaders headers, ForwardingHeaders names, Optional<TokenUse> tokens) {
        if (tokens.isEmpty()) {
            return Prompt.NONE;
        }
        TokenUse use = tokens.get();
        List<PromptPart> parts = parts(headers.get(names.promptParts(), ""));
        long hint = tokens(headers.get(names.lengthHint(), "")).orElse(use.mostAnswer());
        return new Prompt(parts, use.prompt(), use.mostAnswer(), Math.min(hint, use.mostAnswer()));
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
