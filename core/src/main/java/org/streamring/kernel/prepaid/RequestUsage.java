package org.streamring.kernel.prepaid;

/**
 * Tokens that one request may have used, over all of its runs.
 *
 * <p>The prompt counts once, however many replicas read it. Each run may generate the declared maximum of the answer,
 * also one that continues a stream, because an event may hold fewer tokens than are counted for it. A run whose end was
 * not received counts its maximum, as its replica may have generated more than arrived. Confined to one thread.
 */
public final class RequestUsage {
    private final long promptTokens;
    private final long maxAnswerTokens;
    private boolean promptRead;
    private long endedTokens;
    private long unknownTokens;
    private long runTokens;

    /**
     * Answer tokens by what is known of them.
     *
     * @param received received from replicas
     * @param unknown counted for runs whose end was not received
     */
    public record AnswerTokens(long received, long unknown) {}

    /**
     * Creates the usage of a request that has not run.
     *
     * @param promptTokens declared tokens of the prompt
     * @param maxAnswerTokens declared maximum of the tokens of the answer
     */
    public RequestUsage(long promptTokens, long maxAnswerTokens) {
        this.promptTokens = promptTokens;
        this.maxAnswerTokens = maxAnswerTokens;
    }

    /** Returns the tokens that have to be reserved before the next run, including those of all runs before. */
    public long neededForNextRun() {
        return promptTokens + endedTokens + unknownTokens + maxAnswerTokens;
    }

    /**
     * Returns the tokens that have to be reserved before a run that begins when the one in progress is given up. What
     * that one generated is not known then, so its maximum is included.
     */
    public long neededForRunAfterCurrent() {
        return neededForNextRun() + maxAnswerTokens;
    }

    /** Adds tokens received from the run in progress. */
    public void received(long tokens) {
        runTokens = Math.min(maxAnswerTokens, runTokens + tokens);
    }

    /** Records that a run ended and that everything it generated was received. */
    public void runReceived() {
        endedTokens += runTokens;
        endRun();
    }

    /** Records that a run ended, or is no longer followed, and may have generated more than was received. */
    public void runUnknown() {
        endedTokens += runTokens;
        unknownTokens += maxAnswerTokens - runTokens;
        endRun();
    }

    private void endRun() {
        promptRead = true;
        runTokens = 0;
    }

    /** Returns the tokens used by the runs that have ended. */
    public long used() {
        return promptRead ? promptTokens + endedTokens + unknownTokens : 0;
    }

    /** Returns the answer tokens of the runs that have ended. */
    public AnswerTokens answerTokens() {
        return new AnswerTokens(endedTokens, unknownTokens);
    }
}
