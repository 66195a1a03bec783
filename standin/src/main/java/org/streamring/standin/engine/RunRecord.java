package org.streamring.standin.engine;

/**
 * What an engine or service ran, by its own account.
 *
 * @param attempt identifier of the attempt as it was sent
 * @param request identifier of the request as it was sent
 * @param promptTokens prompt tokens read
 * @param answerTokens tokens generated
 * @param complete whether the answer was finished
 */
public record RunRecord(String attempt, String request, long promptTokens, long answerTokens, boolean complete) {
    /** Prompt and answer together. */
    public long tokens() {
        return promptTokens + answerTokens;
    }
}
