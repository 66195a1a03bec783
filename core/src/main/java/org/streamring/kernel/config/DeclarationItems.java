package org.streamring.kernel.config;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.streamring.kernel.table.RowText;
import org.streamring.model.declaration.AccountDeclaration;
import org.streamring.model.declaration.BackendOrder;
import org.streamring.model.declaration.BudgetDeclaration;
import org.streamring.model.declaration.Declarations;
import org.streamring.model.declaration.PolicyDeclaration;
import org.streamring.model.declaration.PriorityClass;
import org.streamring.model.declaration.ServiceDeclaration;

/** Converts declarations to stored items and back. */
public final class DeclarationItems {
    /** Kind of the items for orders to backend servers, which are not part of declaration files. */
    public static final String BACKENDS = "backends";

    private DeclarationItems() {}

    /** Converts declarations to items. Each item comes after the items that it refers to. */
    public static List<ConfigItem> split(Declarations declarations) {
        return Stream.of(
                        items("budgets", declarations.budgets()),
                        items("classes", declarations.classes()),
                        items("policies", declarations.policies()),
                        items("services", declarations.services()),
                        items("accounts", declarations.accounts()),
                        items(BACKENDS, declarations.backends()))
                .flatMap(stream -> stream)
                .toList();
    }

    /** Converts items to declarations; items of an unknown kind are left out. */
    public static Declarations join(Iterable<ConfigItem> items) {
        Declarations joined = new Declarations(null, null, null, null, null, null);
        for (ConfigItem item : items) {
            put(joined, item);
        }
        return joined;
    }

    private static void put(Declarations into, ConfigItem item) {
        switch (item.kind()) {
            case "budgets" -> put(into.budgets(), item, BudgetDeclaration.class);
            case "accounts" -> put(into.accounts(), item, AccountDeclaration.class);
            case "classes" -> put(into.classes(), item, PriorityClass.class);
            case "services" -> put(into.services(), item, ServiceDeclaration.class);
            case "policies" -> put(into.policies(), item, PolicyDeclaration.class);
            case BACKENDS -> put(into.backends(), item, BackendOrder.class);
            default -> {
                // Items of unknown kinds were written by a newer version of the operator tool.
            }
        }
    }

    private static <V> void put(Map<String, V> into, ConfigItem item, Class<V> type) {
        into.put(item.name(), RowText.read(item.json(), type));
    }

    private static Stream<ConfigItem> items(String kind, Map<String, ?> named) {
        return new TreeMap<>(named)
                .entrySet().stream()
                        .map(entry -> new ConfigItem(kind, entry.getKey(), RowText.write(entry.getValue())));
    }
}
