package org.streamring.kernel.limit;

/**
 * Allows retries in proportion to first attempts, so that retries never multiply an overload.
 *
 * <p>Safe for use by many threads; no other lock is acquired while its lock is held.
 */
public final class RetryBudget {
    private static final double BURST = 10;

    private final double share;
    private final TokenBucket bucket = new TokenBucket(BURST, 0);

    /**
     * Creates a budget.
     *
     * @param share retries allowed per first attempt
     */
    public RetryBudget(double share) {
        this.share = share;
    }

    /** Records a first attempt. */
    public synchronized void firstTry() {
        bucket.add(share);
    }

    /** Takes one retry from the budget; returns whether it is allowed. */
    public synchronized boolean tryRetry() {
        return bucket.take();
    }
}
