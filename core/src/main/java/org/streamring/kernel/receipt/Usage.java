package org.streamring.kernel.receipt;

/**
 * Token usage of an attempt.
 *
 * @param promptTokens number of prompt tokens
 * @param answerTokens number of generated tokens
 * @param tokens number of tokens charged
 */
public record Usage(long promptTokens, long answerTokens, long tokens) {
    /** Usage of an attempt that used no tokens. */
    public static final Usage NONE = new Usage(0, 0, 0);

    /** Returns the usage of a model engine, where each prompt token and each generated token counts as one token. */
    public static Usage ofModel(long promptTokens, long answerTokens) {
        return new Usage(promptTokens, answerTokens, promptTokens + answerTokens);
    }

    /** Returns the usage of a call with a flat charge. */
    public static Usage flat(long tokens) {
        return new Usage(0, 0, tokens);
    }
}
