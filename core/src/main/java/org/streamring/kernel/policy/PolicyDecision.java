package org.streamring.kernel.policy;

import org.streamring.model.declaration.PriorityClass;

/**
 * What a policy decides on a request before a backend server is chosen.
 *
 * @param admitted whether the request may run
 * @param rank its rank, brought into the range of ranks; {@link PriorityClass#LOWEST_RANK} if it may not run
 */
public record PolicyDecision(boolean admitted, int rank) {
    /** Evaluates a policy, in an entry as in a dry run. */
    public static PolicyDecision of(CompiledPolicy policy, PolicyInput input) throws PolicyException {
        if (!policy.admits(input)) {
            return new PolicyDecision(false, PriorityClass.LOWEST_RANK);
        }
        return new PolicyDecision(true, Math.max(0, Math.min(PriorityClass.LOWEST_RANK, policy.rank(input))));
    }
}
