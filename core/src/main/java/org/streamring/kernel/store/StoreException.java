package org.streamring.kernel.store;

/** Thrown if a call to the store fails. */
public final class StoreException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean hasNoEffect;
    private final long era;

    /**
     * Creates an exception.
     *
     * @param step operation that failed, and the peer that was called
     * @param reason cause of the failure
     * @param hasNoEffect whether the call certainly had no effect and will not take effect later
     */
    public StoreException(String step, String reason, boolean hasNoEffect) {
        this(step, reason, hasNoEffect, StorePosition.NO_ERA);
    }

    /**
     * Creates an exception for a call that was answered.
     *
     * @param step operation that failed, and the peer that was called
     * @param reason cause of the failure
     * @param hasNoEffect whether the call certainly had no effect and will not take effect later
     * @param era era that the answer named; {@link StorePosition#NO_ERA} if it named none
     */
    public StoreException(String step, String reason, boolean hasNoEffect, long era) {
        super(step + ": " + reason);
        this.hasNoEffect = hasNoEffect;
        this.era = era;
    }

    /** Returns whether the call certainly had no effect and will not take effect later. */
    public boolean hasNoEffect() {
        return hasNoEffect;
    }

    /** Returns the era that the answer named; {@link StorePosition#NO_ERA} if it named none or there was no answer. */
    public long era() {
        return era;
    }
}
