package org.streamring.cli;

/** Exit codes of the command-line program. */
final class ExitCode {
    /** The command succeeded. */
    static final int OK = 0;
    /** The arguments, a declaration file or a samples file are invalid. */
    static final int BAD_INPUT = 2;
    /** The configuration is not at the expected version, or another operator changed it concurrently. */
    static final int CONFLICT = 3;
    /** The platform did not respond; the change may or may not have been applied. */
    static final int UNAVAILABLE = 4;
    /** The named object does not exist, the change is not possible, or a sample was not decided as expected. */
    static final int NOT_POSSIBLE = 5;

    private ExitCode() {}
}
