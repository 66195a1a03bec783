package org.streamring.standin.engine;

/**
 * The record that an engine or service keeps of an attempt it ran.
 *
 * @param attempt identifier of the attempt, as received
 * @param request identifier of the request, as received
 * @param promptTokens number of prompt tokens
 * @param answerTokens number of generated tokens
 * @param complete whether the answer was completed
 */
public record RunRecord(String attempt, String request, long promptTokens, long answerTokens, boolean complete) {
    /** Returns the sum of prompt tokens and answer tokens. */
    public long tokens() {
        return promptTokens + answerTokens;
    }
}
