package org.streamring.net.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.streamring.model.declaration.DeclarationChecker;
import org.streamring.model.declaration.Declarations;

/** Reads declarations from one or more TOML files and merges them. */
public final class DeclarationReader {
    private DeclarationReader() {}

    /**
     * Reads, merges and validates files.
     *
     * @throws SettingsException if a file cannot be parsed, or with all errors if the declarations are invalid
     */
    public static Declarations read(List<Path> files) throws SettingsException {
        List<String> errors = new ArrayList<>();
        Declarations merged = new Declarations(null, null, null, null, null, null);
        for (Path file : files) {
            merge(file, TomlFileReader.read(file, Declarations.class, errors), merged, errors);
        }
        if (!merged.backends().isEmpty()) {
            errors.add("backends: orders to backend servers are given with 'streamring backend', not declared");
        }
        errors.addAll(DeclarationChecker.check(merged));
        if (!errors.isEmpty()) {
            throw new SettingsException(files.toString(), errors);
        }
        return merged;
    }

    private static void merge(Path file, Declarations part, Declarations merged, List<String> errors) {
        merge(file, "budgets", part.budgets(), merged.budgets(), errors);
        merge(file, "accounts", part.accounts(), merged.accounts(), errors);
        merge(file, "classes", part.classes(), merged.classes(), errors);
        merge(file, "services", part.services(), merged.services(), errors);
        merge(file, "policies", part.policies(), merged.policies(), errors);
        merge(file, "backends", part.backends(), merged.backends(), errors);
    }

    private static <V> void merge(
            Path file, String section, Map<String, V> part, Map<String, V> merged, List<String> errors) {
        new TreeMap<>(part).forEach((name, value) -> {
            if (merged.put(name, value) != null) {
                errors.add("%s.%s: declared twice, the second time in %s".formatted(section, name, file));
            }
        });
    }
}
