package org.streamring.kernel.prepaid;

/**
 * An amount that is kept in the store, as far as it can be relied on here.
 *
 * <p>Never more than the store holds under any outcome of the writes in progress: it shrinks when a smaller one is
 * proposed and grows when a larger one is confirmed.
 */
final class DurableAmount {
    private long usable;
    private long durable;
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
        durable = amount;
        uncertain = false;
    }

    /** The write in progress did not take effect; an older one without an answer may still do so. */
    void refused() {
        if (!uncertain) {
            usable = durable;
        }
    }

    void unanswered() {
        uncertain = true;
    }
}
