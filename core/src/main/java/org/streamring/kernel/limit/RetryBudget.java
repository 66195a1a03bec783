package org.streamring.kernel.limit;

/**
 * Allows retries in proportion to first tries, so that retries never multiply an overload.
 *
 * <p>Safe for use by many threads; its lock is a leaf, held while no other lock is taken.
 */
public final class RetryBudget {
    private static final double BURST = 10;

    private final double share;
    private final TokenBucket bucket = new TokenBucket(BURST, 0);

    /**
     * Creates one.
     *
     * @param share retries allowed per first try
     */
    public RetryBudget(double share) {
        this.share = share;
    }

    /** Notes a first try. */
    public synchronized void firstTry() {
        bucket.add(share);
    }

    /** Takes leave for one retry. */
    public synchronized boolean tryRetry() {
        return bucket.take();
    }
}
