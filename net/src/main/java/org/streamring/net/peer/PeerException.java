package org.streamring.net.peer;

/** A connection that could not be established or was given up. */
public class PeerException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String step;
    private final String peer;

    /**
     * Creates one.
     *
     * @param step what was being done
     * @param peer address or name of the other side
     * @param message what went wrong
     */
    public PeerException(String step, String peer, String message) {
        super("%s with %s: %s".formatted(step, peer, message));
        this.step = step;
        this.peer = peer;
    }

    /** What was being done. */
    public String step() {
        return step;
    }

    /** Address or name of the other side. */
    public String peer() {
        return peer;
    }
}
