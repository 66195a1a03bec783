package org.streamring.kernel.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.streamring.kernel.config.ConfigChange.Grant;
import org.streamring.kernel.table.Transaction;

/**
 * Splits a difference that is too large for one transaction into several, each of which leaves valid declarations:
 * items
 * are added after what they name and removed before it.
 */
public final class ChangeSplitter {
    private static final int VERSION_AND_CHANGE = 2;
    private static final int ROWS_PER_NEW_BUDGET = 4;
    private static final int ROWS_PER_GRANT = 2;
    private static final List<String> ORDER = List.of("budgets", "classes", "policies", "services", "accounts");

    private ChangeSplitter() {}

    /** Splits; one part if everything fits. */
    public static List<DeclarationDiff> split(DeclarationDiff whole) {
        List<DeclarationDiff> parts = new ArrayList<>();
        List<ConfigItem> items = new ArrayList<>();
        List<Grant> grants = new ArrayList<>();
        int operations = VERSION_AND_CHANGE;
        for (ConfigItem item : ordered(whole.items())) {
            List<Grant> own = whole.grants().stream()
                    .filter(grant ->
                            item.kind().equals("budgets") && grant.budget().equals(item.name()))
                    .toList();
            int needed = 1 + own.stream().mapToInt(ChangeSplitter::rows).sum();
            if (operations + needed > Transaction.MAX_OPERATIONS) {
                parts.add(new DeclarationDiff(List.copyOf(items), List.copyOf(grants)));
                items.clear();
                grants.clear();
                operations = VERSION_AND_CHANGE;
            }
            items.add(item);
            grants.addAll(own);
            operations += needed;
        }
        parts.add(new DeclarationDiff(List.copyOf(items), List.copyOf(grants)));
        return parts;
    }

    private static int rows(Grant grant) {
        return grant.created() ? ROWS_PER_NEW_BUDGET : ROWS_PER_GRANT;
    }

    private static List<ConfigItem> ordered(List<ConfigItem> items) {
        Comparator<ConfigItem> byKind = Comparator.comparingInt(item -> ORDER.indexOf(item.kind()));
        Stream<ConfigItem> set = items.stream().filter(item -> !item.removal()).sorted(byKind);
        Stream<ConfigItem> removed = items.stream().filter(ConfigItem::removal).sorted(byKind.reversed());
        return Stream.concat(set, removed).toList();
    }
}
