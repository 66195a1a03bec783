package org.streamring.kernel.receipt;

/**
 * What an attempt used.
 *
 * @param promptTokens prompt tokens
 * @param answerTokens generated tokens
 * @param tokens tokens charged
 */
public record Usage(long promptTokens, long answerTokens, long tokens) {
    /** Nothing used. */
    public static final Usage NONE = new Usage(0, 0, 0);

    /** Usage of a model engine: prompt and answer are charged alike. */
    public static Usage ofModel(long promptTokens, long answerTokens) {
        return new Usage(promptTokens, answerTokens, promptTokens + answerTokens);
    }

    /** A flat charge. */
    public static Usage flat(long tokens) {
        return new Usage(0, 0, tokens);
    }
}
