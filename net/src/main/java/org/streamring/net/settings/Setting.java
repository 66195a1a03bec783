package org.streamring.net.settings;

/**
 * Definition of a setting.
 *
 * @param <T> type of the value
 */
public final class Setting<T> {
    private final String key;
    private final Class<T> type;
    private final String defaultText;
    private final String allowed;
    private final String description;

    Setting(String key, Class<T> type, String defaultText, String allowed, String description) {
        this.key = key;
        this.type = type;
        this.defaultText = defaultText;
        this.allowed = allowed;
        this.description = description;
    }

    /** Returns the dotted key. */
    public String key() {
        return key;
    }

    /** Returns the type of the value. */
    Class<T> type() {
        return type;
    }

    /** Returns the default as text; empty if the setting is required. */
    public String defaultText() {
        return defaultText;
    }

    /** Returns a description of the allowed values. */
    public String allowed() {
        return allowed;
    }

    /** Returns a description of what the setting does. */
    public String description() {
        return description;
    }
}
