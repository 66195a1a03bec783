package org.streamring.cli;

/** A command that can't be carried out. */
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
