package org.streamring.kernel.config;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Accepted configuration change, which leads from one version to the next and serves as its audit record.
 *
 * @param version version of the configuration after the change
 * @param changeId identifier chosen by the operator tool
 * @param author operator who made the change
 * @param epochMillis time of the change by the operator's clock
 * @param action command that was executed, such as {@code apply} or {@code top-up}
 * @param items items that are set or removed
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

    /** Creates a change with copies of the lists; a missing list is treated as empty. */
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
     * Grant of tokens to a budget.
     *
     * @param budget name of the budget
     * @param tokens tokens added; a negative number withdraws tokens that are not in a lease
     * @param created whether the budget is new
     */
    public record Grant(String budget, long tokens, boolean created) {}
}
