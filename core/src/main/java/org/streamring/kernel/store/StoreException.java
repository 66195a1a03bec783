package org.streamring.kernel.store;

/** A call to the store failed. */
public final class StoreException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean nothingDone;

    /**
     * Creates one.
     *
     * @param step what was tried, and at which peer
     * @param reason what went wrong
     * @param nothingDone whether the call is known to have had no effect, now and later
     */
    public StoreException(String step, String reason, boolean nothingDone) {
        super(step + ": " + reason);
        this.nothingDone = nothingDone;
    }

    /** Whether the call is known to have had no effect, now and later. */
    public boolean nothingDone() {
        return nothingDone;
    }
}
