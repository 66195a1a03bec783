package org.streamring.cli;

/** Thrown if a command cannot be executed. Holds the exit code of the program. */
final class CommandException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int exitCode;

    CommandException(int exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    int exitCode() {
        return exitCode;
    }
}
