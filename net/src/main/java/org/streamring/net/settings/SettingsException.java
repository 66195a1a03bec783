package org.streamring.net.settings;

import java.util.List;

/** Settings that can't be used, with every mistake. */
public class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<String> mistakes;

    /**
     * Creates one.
     *
     * @param file file concerned
     * @param mistakes one line each
     */
    public SettingsException(String file, List<String> mistakes) {
        super(file + ":\n  " + String.join("\n  ", mistakes));
        this.mistakes = List.copyOf(mistakes);
    }

    /** One line per mistake. */
    public List<String> mistakes() {
        return mistakes;
    }
}
