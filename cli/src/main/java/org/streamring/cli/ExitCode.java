package org.streamring.cli;

/** Exit codes of the operator's program. */
final class ExitCode {
    /** Done. */
    static final int OK = 0;
    /** Input that can't be used. */
    static final int BAD_INPUT = 2;
    /** The configuration is at another version than expected, or an operator was faster. */
    static final int CONFLICT = 3;
    /** The platform does not answer; the change may or may not have been made. */
    static final int UNAVAILABLE = 4;
    /** The thing named does not exist, or the change is not possible. */
    static final int NOT_POSSIBLE = 5;

    private ExitCode() {}
}
