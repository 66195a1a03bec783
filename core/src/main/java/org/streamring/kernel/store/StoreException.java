package org.streamring.kernel.store;

/** Thrown if a call to the store fails. */
public final class StoreException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean hasNoEffect;

    /**
     * Creates an exception.
     *
     * @param step operation that failed, and the peer that was called
     * @param reason cause of the failure
     * @param hasNoEffect whether the call certainly had no effect and will not take effect later
     */
    public StoreException(String step, String reason, boolean hasNoEffect) {
        super(step + ": " + reason);
        this.hasNoEffect = hasNoEffect;
    }

    /** Returns whether the call certainly had no effect and will not take effect later. */
    public boolean hasNoEffect() {
        return hasNoEffect;
    }
}
