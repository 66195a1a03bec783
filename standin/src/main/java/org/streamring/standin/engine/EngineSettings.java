package org.streamring.standin.engine;

/**
 * Size and speed of a stand-in engine.
 *
 * @param stepMillis duration of a step
 * @param maxBatch maximum number of sequences in a step
 * @param prefillTokens maximum number of prompt tokens read in a step
 * @param cacheBlocks maximum number of cached prefix blocks
 */
public record EngineSettings(int stepMillis, int maxBatch, int prefillTokens, int cacheBlocks) {
    /** Returns the settings of a fast engine for tests. */
    public static EngineSettings fast() {
        return new EngineSettings(2, 32, 2048, 256);
    }
}
