package org.streamring.standin.model;

/** A scenario that can't be read; the message says why. */
final class ScenarioException extends Exception {
    private static final long serialVersionUID = 1L;

    ScenarioException(String file, String problem) {
        super(file + ": " + problem);
    }
}
