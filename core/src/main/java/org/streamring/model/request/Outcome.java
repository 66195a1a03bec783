package org.streamring.model.request;

/** What a final answer says about the request. */
public enum Outcome {
    /** The whole answer of the backend server was delivered. */
    ANSWERED("answered"),
    /** No backend server was given the request, and none will be. */
    NOT_RUN("not-run"),
    /** The request may have run, in part or whole. */
    UNKNOWN("unknown");

    private final String text;

    Outcome(String text) {
        this.text = text;
    }

    /** The form used in headers and stream events. */
    public String text() {
        return text;
    }
}
