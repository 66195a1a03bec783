package org.streamring.model.declaration;

import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Complete set of declarations, by name.
 *
 * @param budgets prepaid budgets
 * @param accounts client accounts
 * @param classes priority classes
 * @param services services
 * @param policies policies
 * @param backends orders of operators to single backend servers
 */
public record Declarations(
        Map<String, BudgetDeclaration> budgets,
        Map<String, AccountDeclaration> accounts,
        Map<String, PriorityClass> classes,
        Map<String, ServiceDeclaration> services,
        Map<String, PolicyDeclaration> policies,
        Map<String, BackendOrder> backends) {

    /** Empty set of declarations. */
    public static final Declarations EMPTY = new Declarations(null, null, null, null, null, null);

    /** Creates a set of declarations with copies of the maps; a missing map is treated as empty. */
    public Declarations(
            @Nullable Map<String, BudgetDeclaration> budgets,
            @Nullable Map<String, AccountDeclaration> accounts,
            @Nullable Map<String, PriorityClass> classes,
            @Nullable Map<String, ServiceDeclaration> services,
            @Nullable Map<String, PolicyDeclaration> policies,
            @Nullable Map<String, BackendOrder> backends) {
        this.budgets = copy(budgets);
        this.accounts = copy(accounts);
        this.classes = copy(classes);
        this.services = copy(services);
        this.policies = copy(policies);
        this.backends = copy(backends);
    }

    private static <V> Map<String, V> copy(@Nullable Map<String, V> map) {
        return map == null ? new TreeMap<>() : new TreeMap<>(map);
    }
}
