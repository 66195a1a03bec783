package org.streamring.kernel.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.streamring.kernel.config.ConfigChange.Grant;
import org.streamring.model.declaration.BudgetDeclaration;
import org.streamring.model.declaration.Declarations;

/**
 * Difference between the declarations in force and the ones that an operator wants to apply.
 *
 * @param items items to set or remove
 * @param grants tokens to grant or withdraw because a declared budget changed
 */
public record DeclarationDiff(List<ConfigItem> items, List<Grant> grants) {
    /**
     * Compares two sets of declarations. Orders to backend servers are not compared and stay unchanged, because they
     * are not part of declaration files.
     */
    public static DeclarationDiff between(Declarations current, Declarations wanted) {
        Map<String, ConfigItem> remaining = new HashMap<>();
        DeclarationItems.split(current).stream()
                .filter(item -> !item.kind().equals(DeclarationItems.BACKENDS))
                .forEach(item -> remaining.put(item.rowKey(), item));
        List<ConfigItem> items = new ArrayList<>();
        for (ConfigItem item : DeclarationItems.split(wanted)) {
            ConfigItem old = remaining.remove(item.rowKey());
            if (!item.equals(old)) {
                items.add(item);
            }
        }
        remaining.values().forEach(item -> items.add(new ConfigItem(item.kind(), item.name(), "")));
        return new DeclarationDiff(List.copyOf(items), grants(current, wanted));
    }

    private static List<Grant> grants(Declarations current, Declarations wanted) {
        List<Grant> grants = new ArrayList<>();
        wanted.budgets().forEach((name, budget) -> {
            BudgetDeclaration old = current.budgets().get(name);
            if (old == null) {
                grants.add(new Grant(name, budget.tokens(), true));
            } else if (old.tokens() != budget.tokens()) {
                grants.add(new Grant(name, budget.tokens() - old.tokens(), false));
            }
        });
        return List.copyOf(grants);
    }

    /** Returns whether no item differs. */
    public boolean isEmpty() {
        return items.isEmpty();
    }
}
