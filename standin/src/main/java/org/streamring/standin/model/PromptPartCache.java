package org.streamring.standin.model;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.streamring.kernel.placement.Prompt;
import org.streamring.kernel.placement.PromptPart;

/** The prompt parts cached by an engine; evicts the least recently read parts when the capacity is exceeded. */
final class PromptPartCache {
    private static final int INITIAL_PARTS = 256;
    private static final float LOAD_FACTOR = 0.75f;

    private final long capacityTokens;
    private final Map<String, Long> parts = new LinkedHashMap<>(INITIAL_PARTS, LOAD_FACTOR, true);
    private long tokens;

    PromptPartCache(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /** Reads a prompt into the cache and returns the number of tokens after its longest cached prefix. */
    long read(Prompt prompt) {
        long cachedTokens = 0;
        boolean prefixCached = true;
        for (PromptPart part : prompt.parts()) {
            prefixCached &= parts.containsKey(part.id());
            cachedTokens += prefixCached ? part.tokens() : 0;
            Long previousTokens = parts.put(part.id(), part.tokens());
            tokens += part.tokens() - (previousTokens == null ? 0 : previousTokens);
        }
        Iterator<Map.Entry<String, Long>> oldest = parts.entrySet().iterator();
        while (tokens > capacityTokens && oldest.hasNext()) {
            tokens -= oldest.next().getValue();
            oldest.remove();
        }
        return Math.max(0, prompt.tokens() - cachedTokens);
    }
}
