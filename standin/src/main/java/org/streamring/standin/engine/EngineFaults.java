package org.streamring.standin.engine;

/**
 * Faults of a stand-in engine.
 *
 * @param dieAfterTokens breaks off every answer after this many tokens; 0 for never
 * @param ignoreLimit whether answers go on beyond their limit
 * @param slowFactor how many times slower than usual; 0 and 1 for as usual
 * @param failing whether every request is answered at once with a server error
 */
public record EngineFaults(int dieAfterTokens, boolean ignoreLimit, int slowFactor, boolean failing) {
    /** No faults. */
    public static final EngineFaults NONE = new EngineFaults(0, false, 1, false);

    /** Breaks off every answer after some tokens. */
    public static EngineFaults dying(int afterTokens) {
        return new EngineFaults(afterTokens, false, 1, false);
    }

    /** Answers go on beyond their limit. */
    public static EngineFaults endless() {
        return new EngineFaults(0, true, 1, false);
    }

    /** Every step takes longer. */
    public static EngineFaults slow(int factor) {
        return new EngineFaults(0, false, factor, false);
    }

    /** Nothing runs; every request gets a server error at once. */
    public static EngineFaults failingAtOnce() {
        return new EngineFaults(0, false, 1, true);
    }
}
