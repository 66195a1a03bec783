package org.streamring.standin.engine;

/**
 * Faults of a stand-in engine.
 *
 * @param dieAfterTokens breaks off every answer after this many tokens; 0 for never
 * @param ignoreLimit whether answers go on beyond their limit
 * @param slowFactor how many times slower than usual; 0 and 1 for as usual
 */
public record EngineFaults(int dieAfterTokens, boolean ignoreLimit, int slowFactor) {
    /** No faults. */
    public static final EngineFaults NONE = new EngineFaults(0, false, 1);
}
