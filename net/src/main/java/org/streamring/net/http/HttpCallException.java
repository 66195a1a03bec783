package org.streamring.net.http;

/** A call got no whole answer. */
public final class HttpCallException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean sent;

    /**
     * Creates one.
     *
     * @param step what was tried, and at which peer
     * @param reason what went wrong
     * @param sent whether the call may have reached the peer
     */
    public HttpCallException(String step, String reason, boolean sent) {
        super(step + ": " + reason);
        this.sent = sent;
    }

    /** Whether the call may have reached the peer. */
    public boolean sent() {
        return sent;
    }
}
