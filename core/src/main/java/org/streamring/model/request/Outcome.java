package org.streamring.model.request;

/** Outcome of a request, as stated in its final answer. */
public enum Outcome {
    /** The complete answer of the backend server was delivered. */
    ANSWERED("answered"),
    /** The request was not run by any backend server and will not be run later. */
    NOT_RUN("not-run"),
    /** The request may have run partly or completely. */
    UNKNOWN("unknown");

    private final String text;

    Outcome(String text) {
        this.text = text;
    }

    /** Returns the name used in headers and stream events. */
    public String text() {
        return text;
    }
}
