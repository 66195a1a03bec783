package org.streamring.kernel.table;

/** Thrown if a call to a service of the platform gets no valid answer. A write may nevertheless have taken effect. */
public class PlatformException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String step;
    private final String peer;

    /**
     * Creates an exception.
     *
     * @param step operation that failed
     * @param peer service that was called
     * @param message cause of the failure
     */
    public PlatformException(String step, String peer, String message) {
        super("%s at %s: %s".formatted(step, peer, message));
        this.step = step;
        this.peer = peer;
    }

    /** Returns the operation that failed. */
    public String step() {
        return step;
    }

    /** Returns the service that was called. */
    public String peer() {
        return peer;
    }
}
