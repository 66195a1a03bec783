package org.streamring.net.settings;

import java.util.Map;

/** Checked settings. */
public final class SettingValues {
    private final Map<String, Object> values;

    SettingValues(Map<String, Object> values) {
        this.values = Map.copyOf(values);
    }

    /** The value of a setting, or its default. */
    public <T> T get(Setting<T> setting) {
        Object value = values.get(setting.key());
        if (value == null) {
            throw new IllegalArgumentException("not part of the schema that was read: " + setting.key());
        }
        return setting.type().cast(value);
    }
}
