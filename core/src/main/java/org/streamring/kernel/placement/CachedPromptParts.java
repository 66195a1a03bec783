package org.streamring.kernel.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Prompt parts that are probably in the cache of a replica: the most recently used ones, up to its capacity. A cached
 * part is useful only if all parts before it are cached as well. Confined to one thread.
 */
final class CachedPromptParts {
    private static final int INITIAL_PARTS = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<String, Long> parts = new LinkedHashMap<>(INITIAL_PARTS, LOAD_FACTOR, true);
    private long tokens;

    /** Returns the number of tokens at the start of a prompt that are cached. */
    long cachedTokens(List<PromptPart> prompt) {
        long cached = 0;
        for (PromptPart part : prompt) {
            if (!parts.containsKey(part.id())) {
                return cached;
            }
            cached += part.tokens();
        }
        return cached;
    }

    /** Adds the parts of a prompt and evicts the least recently used parts above the capacity. */
    void add(List<PromptPart> prompt, long capacityTokens) {
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
