package org.streamring.kernel.policy;

import org.streamring.model.declaration.PriorityClass;

/**
 * Decision of a policy on a request, made before a backend server is chosen.
 *
 * @param admitted whether the request is admitted
 * @param rank rank of the request, limited to the valid range; {@link PriorityClass#LOWEST_RANK} if it is not admitted
 */
public record PolicyDecision(boolean admitted, int rank) {
    /** Evaluates a policy; used both for requests and for dry runs. */
    public static PolicyDecision of(CompiledPolicy policy, PolicyInput input) throws PolicyException {
        if (!policy.admits(input)) {
            return new PolicyDecision(false, PriorityClass.LOWEST_RANK);
        }
        return new PolicyDecision(true, Math.max(0, Math.min(PriorityClass.LOWEST_RANK, policy.rank(input))));
    }
}
