package org.streamring.net.settings;

import java.util.List;

/** Thrown if settings or declarations are invalid; lists every error found. */
public class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<String> mistakes;

    /**
     * Creates an exception.
     *
     * @param file name of the file or files
     * @param mistakes one line per error
     */
    public SettingsException(String file, List<String> mistakes) {
        super(file + ":\n  " + String.join("\n  ", mistakes));
        this.mistakes = List.copyOf(mistakes);
    }

    /** Returns one line per error. */
    public List<String> mistakes() {
        return mistakes;
    }
}
