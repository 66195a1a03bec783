package org.streamring.standin.engine;

/**
 * Faults of a stand-in engine.
 *
 * @param dieAfterTokens number of tokens after which each answer is broken off; 0 for never
 * @param ignoreLimit whether answers continue after their token limit
 * @param slowFactor factor by which the duration of a step is multiplied; 0 and 1 for normal speed
 * @param failing whether each request is answered at once with a server error and not run
 */
public record EngineFaults(int dieAfterTokens, boolean ignoreLimit, int slowFactor, boolean failing) {
    /** No faults. */
    public static final EngineFaults NONE = new EngineFaults(0, false, 1, false);

    /** Returns a fault that breaks off each answer after the given number of tokens. */
    public static EngineFaults dying(int afterTokens) {
        return new EngineFaults(afterTokens, false, 1, false);
    }

    /** Returns a fault that lets answers continue after their token limit. */
    public static EngineFaults endless() {
        return new EngineFaults(0, true, 1, false);
    }

    /** Returns a fault that multiplies the duration of each step by the given factor. */
    public static EngineFaults slow(int factor) {
        return new EngineFaults(0, false, factor, false);
    }

    /** Returns a fault that answers each request at once with a server error, without running it. */
    public static EngineFaults failingAtOnce() {
        return new EngineFaults(0, false, 1, true);
    }
}
