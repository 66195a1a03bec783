package org.streamring.net.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Settings supported by a program. Reading a file reports all errors at once, including unknown keys. */
public final class SettingsSchema {
    private static final Pattern DURATION = Pattern.compile("(\\d+)(ms|s|m|h)");

    private final Map<String, Entry> entries = new LinkedHashMap<>();

    private record Entry(Setting<?> setting, Parser parser) {}

    @FunctionalInterface
    private interface Parser {
        /** Parses a value; returns null if it is not allowed. */
        @org.jspecify.annotations.Nullable
        Object parse(String text);
    }

    /** Adds a text setting. An empty pattern allows any text; an empty default makes the setting required. */
    public Setting<String> text(String key, String defaultText, String allowed, String description) {
        Pattern pattern = Pattern.compile(allowed.isEmpty() ? ".+" : allowed);
        String allowedText = allowed.isEmpty() ? "any text" : "text matching " + allowed;
        return add(
                new Setting<>(key, String.class, defaultText, allowedText, description),
                text -> pattern.matcher(text).matches() ? text : null);
    }

    /** Adds an integer setting with an inclusive range. */
    public Setting<Integer> integer(String key, String defaultText, int min, int max, String description) {
        return add(
                new Setting<>(key, Integer.class, defaultText, "whole number from " + min + " to " + max, description),
                text -> parseInteger(text, min, max));
    }

    /** Adds a duration setting, with values such as {@code 250ms}, {@code 10s}, {@code 5m} or {@code 1h}. */
    public Setting<Duration> duration(String key, String defaultText, String description) {
        return add(
                new Setting<>(key, Duration.class, defaultText, "duration such as 250ms, 10s, 5m or 1h", description),
                SettingsSchema::parseDuration);
    }

    /** Adds a setting with a fixed set of values. */
    public Setting<String> choice(String key, String defaultText, Set<String> choices, String description) {
        return add(
                new Setting<>(
                        key,
                        String.class,
                        defaultText,
                        "one of " + choices.stream().sorted().toList(),
                        description),
                text -> choices.contains(text) ? text : null);
    }

    private <T> Setting<T> add(Setting<T> setting, Parser parser) {
        entries.put(setting.key(), new Entry(setting, parser));
        return setting;
    }

    /** Returns all settings in declaration order. */
    public List<Setting<?>> settings() {
        List<Setting<?>> settings = new ArrayList<>();
        entries.values().forEach(entry -> settings.add(entry.setting()));
        return settings;
    }

    /** Returns a Markdown table of all settings for the reference documentation. */
    public String describe() {
        StringBuilder table =
                new StringBuilder("| setting | default | allowed | what it does |\n| --- | --- | --- | --- |\n");
        for (Setting<?> setting : settings()) {
            String defaultCell = setting.defaultText().isEmpty() ? "must be given" : "`" + setting.defaultText() + "`";
            table.append("| `%s` | %s | %s | %s |%n"
                    .formatted(
                            setting.key(), defaultCell, setting.allowed().replace("|", "\\|"), setting.description()));
        }
        return table.toString();
    }

    /**
     * Reads and validates a file.
     *
     * @throws SettingsException if the file cannot be read or is invalid
     */
    public SettingValues read(Path file) throws SettingsException {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw new SettingsException(file.toString(), List.of("can't be read: " + e));
        }
    }

    /**
     * Parses and validates TOML text.
     *
     * @param name name of the source in error messages
     * @throws SettingsException if the text is not TOML, or with all errors if settings are invalid
     */
    public SettingValues parse(String name, String toml) throws SettingsException {
        Map<String, String> given = new LinkedHashMap<>();
        List<String> errors = new ArrayList<>();
        try {
            flatten("", new TomlMapper().readTree(toml), given);
        } catch (JsonProcessingException e) {
            throw new SettingsException(name, List.of("not TOML: " + e.getOriginalMessage()));
        }
        given.keySet().stream()
                .filter(key -> !entries.containsKey(key))
                .forEach(key -> errors.add(
                        "%s = \"%s\": unknown key; allowed are %s".formatted(key, given.get(key), entries.keySet())));
        Map<String, Object> values = new HashMap<>();
        for (Entry entry : entries.values()) {
            check(entry, given, values, errors);
        }
        if (!errors.isEmpty()) {
            throw new SettingsException(name, errors);
        }
        return new SettingValues(values);
    }

    private static void check(Entry entry, Map<String, String> given, Map<String, Object> values, List<String> errors) {
        Setting<?> setting = entry.setting();
        String text = given.getOrDefault(setting.key(), setting.defaultText());
        if (text.isEmpty()) {
            errors.add("%s: must be given; allowed is %s".formatted(setting.key(), setting.allowed()));
            return;
        }
        Object value = entry.parser().parse(text);
        if (value == null) {
            errors.add("%s = \"%s\": allowed is %s".formatted(setting.key(), text, setting.allowed()));
            return;
        }
        values.put(setting.key(), value);
    }

    private static void flatten(String prefix, JsonNode node, Map<String, String> target) {
        Iterator<Map.Entry<String, JsonNode>> fields = node.fields();
        while (fields.hasNext()) {
            Map.Entry<String, JsonNode> field = fields.next();
            String key = prefix + field.getKey();
            if (field.getValue().isObject()) {
                flatten(key + ".", field.getValue(), target);
            } else if (field.getValue().isValueNode()) {
                target.put(key, field.getValue().asText());
            } else {
                target.put(key, field.getValue().toString());
            }
        }
    }

    private static @org.jspecify.annotations.Nullable Integer parseInteger(String text, int min, int max) {
        try {
            int value = Integer.parseInt(text);
            return value < min || value > max ? null : value;
        } catch (NumberFormatException e) {
            return null;
        }
    }

    private static @org.jspecify.annotations.Nullable Duration parseDuration(String text) {
        Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches()) {
            return null;
        }
        long number = Long.parseLong(matcher.group(1));
        return switch (matcher.group(2)) {
            case "ms" -> Duration.ofMillis(number);
            case "s" -> Duration.ofSeconds(number);
            case "m" -> Duration.ofMinutes(number);
            default -> Duration.ofHours(number);
        };
    }
}
