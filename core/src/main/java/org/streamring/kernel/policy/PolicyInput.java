package org.streamring.kernel.policy;

import java.util.Map;
import org.streamring.model.declaration.AccountDeclaration;
import org.streamring.model.declaration.PriorityClass;

/**
 * Properties of a request that a policy can use.
 *
 * @param account name of the client account
 * @param service name of the requested service
 * @param priorityClass priority class of the account
 * @param rank rank of the priority class
 * @param promptTokens upper bound of the prompt tokens
 * @param answerTokens maximum number of answer tokens
 * @param budget budget that is charged for the request
 * @param repeatable whether the request can safely be sent more than once
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
     * Creates the input for a request of a declared account.
     *
     * @param account name of the client account
     * @param declared declaration of the account
     * @param service name of the requested service
     * @param classes declared priority classes by name
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
