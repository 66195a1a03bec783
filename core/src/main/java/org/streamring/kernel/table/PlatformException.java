package org.streamring.kernel.table;

/** A call to a service of the platform that gave no answer; a write may have taken effect all the same. */
public class PlatformException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String step;
    private final String peer;

    /**
     * Creates one.
     *
     * @param step what was being done
     * @param peer the service that was asked
     * @param message what went wrong
     */
    public PlatformException(String step, String peer, String message) {
        super("%s at %s: %s".formatted(step, peer, message));
        this.step = step;
        this.peer = peer;
    }

    /** What was being done. */
    public String step() {
        return step;
    }

    /** The service that was asked. */
    public String peer() {
        return peer;
    }
}
