package org.streamring.kernel.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The parts of prompts that a replica likely keeps in its memory: those read there last, up to its capacity. A part
 * saves reading only if all parts before it are kept as well. Confined to one thread.
 */
final class KeptParts {
    private static final int INITIAL_PARTS = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<String, Long> parts = new LinkedHashMap<>(INITIAL_PARTS, LOAD_FACTOR, true);
    private long tokens;

    /** Tokens at the beginning of a prompt that need not be read again. */
    long keptTokens(List<PromptPart> prompt) {
        long kept = 0;
        for (PromptPart part : prompt) {
            if (!parts.containsKey(part.id())) {
                return kept;
            }
            kept += part.tokens();
        }
        return kept;
    }

    /** Notes that a prompt is read; what was unused for longest gives way. */
    void read(List<PromptPart> prompt, long capacityTokens) {
        for (PromptPart part : prompt) {
            Long before = parts.put(part.id(), part.tokens());
            tokens += part.tokens() - (before == null ? 0 : before);
        }
        Iterator<Map.Entry<String, Long>> oldest = parts.entrySet().iterator();
        while (tokens > capacityTokens && oldest.hasNext()) {
            tokens -= oldest.next().getValue();
            oldest.remove();
        }
    }
}
