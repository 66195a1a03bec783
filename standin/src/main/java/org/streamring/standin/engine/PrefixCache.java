package org.streamring.standin.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/** A bounded cache of blocks of prompt prefixes, which evicts the least recently used block. */
final class PrefixCache {
    private static final int BLOCK_CHARACTERS = 256;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<Long, Boolean> blocks;

    PrefixCache(int capacity) {
        blocks = new LinkedHashMap<>(capacity, LOAD_FACTOR, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                return size() > capacity;
            }
        };
    }

    /** Returns the length in characters of the cached prefix of a prompt, and stores all complete blocks of it. */
    int readAndStore(String prompt) {
        int cached = 0;
        boolean hit = true;
        long hash = 1;
        for (int end = BLOCK_CHARACTERS; end <= prompt.length(); end += BLOCK_CHARACTERS) {
            hash = 31 * hash + prompt.substring(end - BLOCK_CHARACTERS, end).hashCode();
            hit = hit && blocks.containsKey(hash);
            if (hit) {
                cached = end;
            }
            blocks.put(hash, true);
        }
        return cached;
    }
}
