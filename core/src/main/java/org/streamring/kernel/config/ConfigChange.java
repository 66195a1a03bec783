package org.streamring.kernel.config;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * One accepted change: the step from one version to the next and its audit record.
 *
 * @param version version that it leads to
 * @param changeId identifier chosen by the operator's program
 * @param author who made it
 * @param epochMillis when, by the operator's clock
 * @param action what was done, such as {@code apply} or {@code top-up}
 * @param items items that it sets or removes
 * @param grants tokens granted to budgets
 */
public record ConfigChange(
        long version,
        String changeId,
        String author,
        long epochMillis,
        String action,
        List<ConfigItem> items,
        List<Grant> grants) {

    /** Copies the lists; an absent one is empty. */
    public ConfigChange(
            long version,
            String changeId,
            String author,
            long epochMillis,
            String action,
            @Nullable List<ConfigItem> items,
            @Nullable List<Grant> grants) {
        this.version = version;
        this.changeId = changeId;
        this.author = author;
        this.epochMillis = epochMillis;
        this.action = action;
        this.items = items == null ? List.of() : List.copyOf(items);
        this.grants = grants == null ? List.of() : List.copyOf(grants);
    }

    /**
     * Tokens granted to a budget.
     *
     * @param budget budget concerned
     * @param tokens tokens added; negative to take back what no lease holds
     * @param created whether the budget is new
     */
    public record Grant(String budget, long tokens, boolean created) {}
}
