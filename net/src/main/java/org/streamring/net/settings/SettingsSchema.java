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

/** The settings that a program knows. Reading a file reports every mistake at once; unknown keys are mistakes. */
public final class SettingsSchema {
    private static final Pattern DURATION = Pattern.compile("(\\d+)(ms|s|m|h)");

    private final Map<String, Entry> entries = new LinkedHashMap<>();

    private record Entry(Setting<?> setting, Parser parser) {}

    @FunctionalInterface
    private interface Parser {
        /** Returns the value; null stands for one that is not allowed. */
        @org.jspecify.annotations.Nullable
        Object parse(String text);
    }

    /** Adds a text; an empty default means that it must be given. */
    public Setting<String> text(String key, String defaultText, String allowed, String description) {
        Pattern pattern = Pattern.compile(allowed.isEmpty() ? ".+" : allowed);
        String words = allowed.isEmpty() ? "any text" : "text matching " + allowed;
        return add(
                new Setting<>(key, String.class, defaultText, words, description),
                text -> pattern.matcher(text).matches() ? text : null);
    }

    /** Adds a whole number. */
    public Setting<Integer> integer(String key, String defaultText, int least, int most, String description) {
        return add(
                new Setting<>(
                        key, Integer.class, defaultText, "whole number from " + least + " to " + most, description),
                text -> parseInteger(text, least, most));
    }

    /** Adds a duration such as {@code 250ms}, {@code 10s}, {@code 5m} or {@code 1h}. */
    public Setting<Duration> duration(String key, String defaultText, String description) {
        return add(
                new Setting<>(key, Duration.class, defaultText, "duration such as 250ms, 10s, 5m or 1h", description),
                SettingsSchema::parseDuration);
    }

    /** Adds a choice among words. */
    public Setting<String> choice(String key, String defaultText, Set<String> words, String description) {
        return add(
                new Setting<>(
                        key,
                        String.class,
                        defaultText,
                        "one of " + words.stream().sorted().toList(),
                        description),
                text -> words.contains(text) ? text : null);
    }

    private <T> Setting<T> add(Setting<T> setting, Parser parser) {
        entries.put(setting.key(), new Entry(setting, parser));
        return setting;
    }

    /** Every setting, in the order of declaration. */
    public List<Setting<?>> settings() {
        List<Setting<?>> settings = new ArrayList<>();
        entries.values().forEach(entry -> settings.add(entry.setting()));
        return settings;
    }

    /** A Markdown table of every setting, for the reference. */
    public String describe() {
        StringBuilder table =
                new StringBuilder("| setting | default | allowed | what it does |\n| --- | --- | --- | --- |\n");
        for (Setting<?> setting : settings()) {
            String standard = setting.defaultText().isEmpty() ? "must be given" : "`" + setting.defaultText() + "`";
            table.append("| `%s` | %s | %s | %s |%n"
                    .formatted(setting.key(), standard, setting.allowed().replace("|", "\\|"), setting.description()));
        }
        return table.toString();
    }

    /** Reads and checks a file. */
    public SettingValues read(Path file) throws SettingsException {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw new SettingsException(file.toString(), List.of("can't be read: " + e));
        }
    }

    /** Checks a text. */
    public SettingValues parse(String name, String toml) throws SettingsException {
        Map<String, String> given = new LinkedHashMap<>();
        List<String> mistakes = new ArrayList<>();
        try {
            flatten("", new TomlMapper().readTree(toml), given);
        } catch (JsonProcessingException e) {
            throw new SettingsException(name, List.of("not TOML: " + e.getOriginalMessage()));
        }
        given.keySet().stream()
                .filter(key -> !entries.containsKey(key))
                .forEach(key -> mistakes.add(
                        "%s = \"%s\": unknown key; allowed are %s".formatted(key, given.get(key), entries.keySet())));
        Map<String, Object> values = new HashMap<>();
        for (Entry entry : entries.values()) {
            check(entry, given, values, mistakes);
        }
        if (!mistakes.isEmpty()) {
            throw new SettingsException(name, mistakes);
        }
        return new SettingValues(values);
    }

    private static void check(
            Entry entry, Map<String, String> given, Map<String, Object> values, List<String> mistakes) {
        Setting<?> setting = entry.setting();
        String text = given.getOrDefault(setting.key(), setting.defaultText());
        if (text.isEmpty()) {
            mistakes.add("%s: must be given; allowed is %s".formatted(setting.key(), setting.allowed()));
            return;
        }
        Object value = entry.parser().parse(text);
        if (value == null) {
            mistakes.add("%s = \"%s\": allowed is %s".formatted(setting.key(), text, setting.allowed()));
            return;
        }
        values.put(setting.key(), value);
    }

    private static void flatten(String prefix, JsonNode node, Map<String, String> into) {
        Iterator<Map.Entry<String, JsonNode>> fields = node.fields();
        while (fields.hasNext()) {
            Map.Entry<String, JsonNode> field = fields.next();
            String key = prefix + field.getKey();
            if (field.getValue().isObject()) {
                flatten(key + ".", field.getValue(), into);
            } else if (field.getValue().isValueNode()) {
                into.put(key, field.getValue().asText());
            } else {
                into.put(key, field.getValue().toString());
            }
        }
    }

    private static @org.jspecify.annotations.Nullable Integer parseInteger(String text, int least, int most) {
        try {
            int value = Integer.parseInt(text);
            return value < least || value > most ? null : value;
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
