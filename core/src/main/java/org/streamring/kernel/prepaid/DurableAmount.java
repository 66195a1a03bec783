package org.streamring.kernel.prepaid;

/**
 * Lower bound of an amount kept in the store, while writes of it are in progress.
 *
 * <p>The bound never exceeds the stored amount under any outcome of these writes: it decreases when a smaller amount is
 * sent and increases when a larger one is confirmed.
 */
final class DurableAmount {
    private long usable;
    private long confirmedValue;
    private boolean uncertain;

    long usable() {
        return usable;
    }

    boolean uncertain() {
        return uncertain;
    }

    void proposed(long amount) {
        usable = Math.min(usable, amount);
    }

    void confirmed(long amount) {
        usable = amount;
        confirmedValue = amount;
        uncertain = false;
    }

    /** Notes that the last write did not take effect; an earlier one of unknown outcome may still do so. */
    void refused() {
        if (!uncertain) {
            usable = confirmedValue;
        }
    }

    void unanswered() {
        uncertain = true;
    }
}
