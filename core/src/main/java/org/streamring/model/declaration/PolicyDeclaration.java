package org.streamring.model.declaration;

import org.jspecify.annotations.Nullable;

/**
 * A policy: three short expressions over the request, the account, the budget and a candidate.
 *
 * @param admit whether the request may run
 * @param priority rank from 0 (first) to {@value PriorityClass#LOWEST_RANK}
 * @param score cost of a candidate; the lowest wins
 */
public record PolicyDeclaration(String admit, String priority, String score) {
    /** Used by services that name no policy. */
    public static final PolicyDeclaration BUILT_IN = new PolicyDeclaration("", "", "");

    /** Fills in empty expressions, which stand for the built-in behaviour. */
    public PolicyDeclaration(@Nullable String admit, @Nullable String priority, @Nullable String score) {
        this.admit = Defaults.text(admit, "");
        this.priority = Defaults.text(priority, "");
        this.score = Defaults.text(score, "");
    }
}
