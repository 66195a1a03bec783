package org.streamring.standin.model;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.streamring.kernel.placement.Prompt;
import org.streamring.kernel.placement.PromptPart;

/** What an engine really keeps of prompts: the parts read last, as far as its memory goes. */
final class PartMemory {
    private static final int INITIAL_PARTS = 256;
    private static final float LOAD_FACTOR = 0.75f;

    private final long capacityTokens;
    private final Map<String, Long> parts = new LinkedHashMap<>(INITIAL_PARTS, LOAD_FACTOR, true);
    private long tokens;

    PartMemory(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /** Reads a prompt; returns the tokens that were not kept. */
    long read(Prompt prompt) {
        long kept = 0;
        boolean allBefore = true;
        for (PromptPart part : prompt.parts()) {
            allBefore &= parts.containsKey(part.id());
            kept += allBefore ? part.tokens() : 0;
            Long before = parts.put(part.id(), part.tokens());
            tokens += part.tokens() - (before == null ? 0 : before);
        }
        Iterator<Map.Entry<String, Long>> oldest = parts.entrySet().iterator();
        while (tokens > capacityTokens && oldest.hasNext()) {
            tokens -= oldest.next().getValue();
            oldest.remove();
        }
        return Math.max(0, prompt.tokens() - kept);
    }
}
