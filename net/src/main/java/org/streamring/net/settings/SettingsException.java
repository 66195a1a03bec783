package org.streamring.net.settings;

import java.util.List;

/** Thrown if settings or declarations are invalid; lists every error found. */
public class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<String> errors;

    /**
     * Creates an exception.
     *
     * @param file name of the file or files
     * @param errors one line per error
     */
    public SettingsException(String file, List<String> errors) {
        super(file + ":\n  " + String.join("\n  ", errors));
        this.errors = List.copyOf(errors);
    }

    /** Returns one line per error. */
    public List<String> errors() {
        return errors;
    }
}
