package org.streamring.net.peer;

/** Thrown if a connection or listening socket cannot be established, or a connection is abandoned. */
public class PeerException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String step;
    private final String peer;

    /**
     * Creates an exception.
     *
     * @param step operation that failed
     * @param peer address or name of the peer
     * @param message description of the failure
     */
    public PeerException(String step, String peer, String message) {
        super("%s with %s: %s".formatted(step, peer, message));
        this.step = step;
        this.peer = peer;
    }

    /** Returns the operation that failed. */
    public String step() {
        return step;
    }

    /** Returns the address or name of the peer. */
    public String peer() {
        return peer;
    }
}
