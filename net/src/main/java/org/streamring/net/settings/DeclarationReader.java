package org.streamring.net.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.deser.DeserializationProblemHandler;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
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
            merge(file, readOne(file, mistakes), whole, mistakes);
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

    private static Declarations readOne(Path file, List<String> mistakes) throws SettingsException {
        TomlMapper mapper = TomlMapper.builder()
                .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
                .disable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                .build();
        mapper.addHandler(new UnknownKeys(file, mistakes));
        try {
            return mapper.readValue(Files.readString(file), Declarations.class);
        } catch (JsonProcessingException e) {
            throw new SettingsException(file.toString(), List.of(e.getOriginalMessage() + " at " + where(e)));
        } catch (IOException e) {
            throw new SettingsException(file.toString(), List.of("can't be read: " + e));
        }
    }

    private static String where(JsonProcessingException e) {
        return e.getLocation() == null
                ? "an unknown place"
                : "line %d, column %d"
                        .formatted(e.getLocation().getLineNr(), e.getLocation().getColumnNr());
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

    private static final class UnknownKeys extends DeserializationProblemHandler {
        private final Path file;
        private final List<String> mistakes;

        private UnknownKeys(Path file, List<String> mistakes) {
            this.file = file;
            this.mistakes = mistakes;
        }

        @Override
        public boolean handleUnknownProperty(
                DeserializationContext context,
                JsonParser parser,
                JsonDeserializer<?> deserializer,
                Object beanOrClass,
                String propertyName)
                throws IOException {
            mistakes.add("%s: %s.%s: unknown key; allowed are %s"
                    .formatted(
                            file,
                            context.getParser()
                                    .getParsingContext()
                                    .pathAsPointer()
                                    .toString()
                                    .replace('/', '.')
                                    .substring(1),
                            propertyName,
                            deserializer == null ? "others" : deserializer.getKnownPropertyNames()));
            parser.skipChildren();
            return true;
        }
    }
}
