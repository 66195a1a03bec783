package org.streamring.net.http;

/** Cause for which a request failed that expects something this server does not know. */
public final class UnsupportedExpectationException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the cause for an expectation as it was sent. */
    public UnsupportedExpectationException(String expectation) {
        super("the expectation is not supported: " + expectation);
    }
}
