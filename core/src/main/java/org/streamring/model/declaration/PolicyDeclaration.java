package org.streamring.model.declaration;

import org.jspecify.annotations.Nullable;

/**
 * Declaration of a policy, which consists of three expressions over the request, the account, the budget and a
 * candidate.
 *
 * @param admit expression for whether the request may run
 * @param priority expression for the rank, from 0 (most urgent) to {@value PriorityClass#LOWEST_RANK}
 * @param score expression for the cost of a candidate; the candidate with the lowest cost is chosen
 */
public record PolicyDeclaration(String admit, String priority, String score) {
    /** Policy of services that do not refer to a declared policy. */
    public static final PolicyDeclaration BUILT_IN = new PolicyDeclaration("", "", "");

    /** Creates a policy; a missing expression is treated as empty, which selects the built-in behaviour. */
    public PolicyDeclaration(@Nullable String admit, @Nullable String priority, @Nullable String score) {
        this.admit = Defaults.text(admit, "");
        this.priority = Defaults.text(priority, "");
        this.score = Defaults.text(score, "");
    }
}
