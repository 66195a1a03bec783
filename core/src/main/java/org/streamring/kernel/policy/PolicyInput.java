package org.streamring.kernel.policy;

import java.util.Map;
import org.streamring.model.declaration.AccountDeclaration;
import org.streamring.model.declaration.PriorityClass;

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
        boolean repeatable) {

    /**
     * What a policy sees of a request of a declared account.
     *
     * @param account name of the client account
     * @param declared its declaration
     * @param service name of the service asked
     * @param classes priority classes declared
     */
    public static PolicyInput of(
            String account,
            AccountDeclaration declared,
            String service,
            Map<String, PriorityClass> classes,
            long promptTokens,
            long answerTokens,
            boolean repeatable) {
        PriorityClass priorityClass = classes.get(declared.priorityClass());
        int rank = priorityClass == null ? PriorityClass.DEFAULT_RANK : priorityClass.rank();
        return new PolicyInput(
                account,
                service,
                declared.priorityClass(),
                rank,
                promptTokens,
                answerTokens,
                declared.budget(),
                repeatable);
    }
}
