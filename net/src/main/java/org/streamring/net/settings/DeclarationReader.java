package org.streamring.net.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.streamring.model.declaration.DeclarationChecker;
import org.streamring.model.declaration.Declarations;

/** Reads declarations from one or more TOML files, which together are one whole. */
public final class DeclarationReader {
    private DeclarationReader() {}

    /** Reads and checks files; every mistake found is reported at once. */
    public static Declarations read(List<Path> files) throws SettingsException {
        List<String> mistakes = new ArrayList<>();
        Declarations whole = new Declarations(null, null, null, null, null, null);
        for (Path file : files) {
            merge(file, TomlFileReader.read(file, Declarations.class, mistakes), whole, mistakes);
        }
        if (!whole.backends().isEmpty()) {
            mistakes.add("backends: orders to backend servers are given with 'streamring backend', not declared");
        }
        mistakes.addAll(DeclarationChecker.check(whole));
        if (!mistakes.isEmpty()) {
            throw new SettingsException(files.toString(), mistakes);
        }
        return whole;
    }

    private static void merge(Path file, Declarations part, Declarations whole, List<String> mistakes) {
        merge(file, "budgets", part.budgets(), whole.budgets(), mistakes);
        merge(file, "accounts", part.accounts(), whole.accounts(), mistakes);
        merge(file, "classes", part.classes(), whole.classes(), mistakes);
        merge(file, "services", part.services(), whole.services(), mistakes);
        merge(file, "policies", part.policies(), whole.policies(), mistakes);
        merge(file, "backends", part.backends(), whole.backends(), mistakes);
    }

    private static <V> void merge(
            Path file, String section, Map<String, V> part, Map<String, V> whole, List<String> mistakes) {
        new TreeMap<>(part).forEach((name, value) -> {
            if (whole.put(name, value) != null) {
                mistakes.add("%s.%s: declared twice, the second time in %s".formatted(section, name, file));
            }
        });
    }
}
