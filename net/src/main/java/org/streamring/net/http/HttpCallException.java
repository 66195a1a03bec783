package org.streamring.net.http;

/** Thrown if no complete response was received for a call. */
public final class HttpCallException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean maybeSent;

    /**
     * Creates an exception.
     *
     * @param step request and address of the service
     * @param reason description of the failure
     * @param maybeSent whether the request may have reached the service
     */
    public HttpCallException(String step, String reason, boolean maybeSent) {
        super(step + ": " + reason);
        this.maybeSent = maybeSent;
    }

    /** Returns whether the request may have reached the service. */
    public boolean maybeSent() {
        return maybeSent;
    }
}
