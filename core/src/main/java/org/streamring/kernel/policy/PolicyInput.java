package org.streamring.kernel.policy;

/**
 * What a policy sees of a request.
 *
 * @param account client account
 * @param service service asked
 * @param priorityClass the account's priority class
 * @param rank rank of that class
 * @param promptTokens bound on the prompt tokens
 * @param answerTokens limit of the answer
 * @param budget budget that pays
 * @param repeatable whether a second run does no harm
 */
public record PolicyInput(
        String account,
        String service,
        String priorityClass,
        int rank,
        long promptTokens,
        long answerTokens,
        String budget,
        boolean repeatable) {}
