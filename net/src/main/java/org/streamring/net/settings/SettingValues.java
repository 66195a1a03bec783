package org.streamring.net.settings;

import java.util.Map;

/** Validated settings of a process. */
public final class SettingValues {
    private final Map<String, Object> values;

    SettingValues(Map<String, Object> values) {
        this.values = Map.copyOf(values);
    }

    /**
     * Returns the value of a setting, or its default if the file does not set it.
     *
     * @throws IllegalArgumentException if the setting belongs to another schema
     */
    public <T> T get(Setting<T> setting) {
        Object value = values.get(setting.key());
        if (value == null) {
            throw new IllegalArgumentException("setting is not part of the schema: " + setting.key());
        }
        return setting.type().cast(value);
    }
}
