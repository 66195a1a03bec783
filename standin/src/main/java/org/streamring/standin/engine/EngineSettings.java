package org.streamring.standin.engine;

/**
 * Size and speed of a stand-in engine.
 *
 * @param stepMillis time of one step
 * @param maxBatch most sequences in one step
 * @param prefillTokens prompt tokens read in one step
 * @param cacheBlocks most prefix blocks kept
 */
public record EngineSettings(int stepMillis, int maxBatch, int prefillTokens, int cacheBlocks) {
    /** A fast engine for tests. */
    public static EngineSettings fast() {
        return new EngineSettings(2, 32, 2048, 256);
    }
}
