package org.streamring.standin.model;

/** Thrown when a scenario can't be read; the message contains the file and the reason. */
final class ScenarioException extends Exception {
    private static final long serialVersionUID = 1L;

    ScenarioException(String file, String problem) {
        super(file + ": " + problem);
    }
}
