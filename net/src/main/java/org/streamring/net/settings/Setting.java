package org.streamring.net.settings;

/**
 * One setting of a process.
 *
 * @param <T> type of its value
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

    /** Dotted key. */
    public String key() {
        return key;
    }

    /** Type of the value. */
    Class<T> type() {
        return type;
    }

    /** Default as text; empty if the setting must be given. */
    public String defaultText() {
        return defaultText;
    }

    /** What is allowed, in words. */
    public String allowed() {
        return allowed;
    }

    /** What it does. */
    public String description() {
        return description;
    }
}
