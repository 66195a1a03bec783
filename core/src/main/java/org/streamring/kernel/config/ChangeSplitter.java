package org.streamring.kernel.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.streamring.kernel.config.ConfigChange.Grant;
import org.streamring.kernel.table.Transaction;

/**
 * Splits a difference that is too large for one transaction into several parts. The declarations are valid after each
 * part: items are added after the items they refer to and removed before them.
 */
public final class ChangeSplitter {
    private static final int VERSION_AND_CHANGE_ROWS = 2;
    private static final int ROWS_PER_NEW_BUDGET = 4;
    private static final int ROWS_PER_GRANT = 2;
    private static final List<String> KINDS_IN_ORDER =
            List.of("budgets", "classes", "policies", "services", "accounts");

    private ChangeSplitter() {}

    /** Splits a difference into parts; returns one part if everything fits into one transaction. */
    public static List<DeclarationDiff> split(DeclarationDiff whole) {
        List<DeclarationDiff> parts = new ArrayList<>();
        List<ConfigItem> items = new ArrayList<>();
        List<Grant> grants = new ArrayList<>();
        int operations = VERSION_AND_CHANGE_ROWS;
        for (ConfigItem item : ordered(whole.items())) {
            List<Grant> itemGrants = whole.grants().stream()
                    .filter(grant ->
                            item.kind().equals("budgets") && grant.budget().equals(item.name()))
                    .toList();
            int neededOperations =
                    1 + itemGrants.stream().mapToInt(ChangeSplitter::rows).sum();
            if (operations + neededOperations > Transaction.MAX_OPERATIONS) {
                parts.add(new DeclarationDiff(List.copyOf(items), List.copyOf(grants)));
                items.clear();
                grants.clear();
                operations = VERSION_AND_CHANGE_ROWS;
            }
            items.add(item);
            grants.addAll(itemGrants);
            operations += neededOperations;
        }
        parts.add(new DeclarationDiff(List.copyOf(items), List.copyOf(grants)));
        return parts;
    }

    private static int rows(Grant grant) {
        return grant.created() ? ROWS_PER_NEW_BUDGET : ROWS_PER_GRANT;
    }

    private static List<ConfigItem> ordered(List<ConfigItem> items) {
        Comparator<ConfigItem> byKind = Comparator.comparingInt(item -> KINDS_IN_ORDER.indexOf(item.kind()));
        Stream<ConfigItem> set = items.stream().filter(item -> !item.removal()).sorted(byKind);
        Stream<ConfigItem> removed = items.stream().filter(ConfigItem::removal).sorted(byKind.reversed());
        return Stream.concat(set, removed).toList();
    }
}
