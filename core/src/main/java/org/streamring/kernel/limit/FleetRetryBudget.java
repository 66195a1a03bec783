package org.streamring.kernel.limit;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This entry's share of a limit on retries that applies to all entries together.
 *
 * <p>The limit holds in every window: retries &le; ratio × requests + slack. An entry uses the part of the first term
 * that its own requests contribute, and an equal share of the second. Confined to one thread.
 */
public final class FleetRetryBudget {
    private static final double USED_SHARE = 0.8;

    private final double ratio;
    private final double slack;
    private final long windowMillis;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> retries = new ArrayDeque<>();

    /**
     * Use of a budget.
     *
     * @param requests requests within the window
     * @param retries retries within the window
     */
    public record Use(int requests, int retries) {}

    /**
     * Creates a budget.
     *
     * @param ratio retries allowed per request
     * @param slack additional retries allowed to all entries together
     * @param windowMillis length of the sliding window, in milliseconds
     */
    public FleetRetryBudget(double ratio, double slack, long windowMillis) {
        this.ratio = ratio;
        this.slack = slack;
        this.windowMillis = windowMillis;
    }

    /** Records a request. */
    public void request(long nowMillis) {
        requests.addLast(nowMillis);
        expire(nowMillis);
    }

    /**
     * Takes one retry from the budget if it allows one.
     *
     * @param entries number of entries that share the limit
     * @return whether the retry is allowed
     */
    public boolean tryRetry(long nowMillis, int entries) {
        expire(nowMillis);
        double allowed = USED_SHARE * (ratio * requests.size() + slack / Math.max(1, entries));
        if (retries.size() + 1 > allowed) {
            return false;
        }
        retries.addLast(nowMillis);
        return true;
    }

    /** Returns the requests and retries counted at the last decision. */
    public Use use() {
        return new Use(requests.size(), retries.size());
    }

    private void expire(long nowMillis) {
        dropBefore(requests, nowMillis - windowMillis);
        dropBefore(retries, nowMillis - windowMillis);
    }

    private static void dropBefore(Deque<Long> times, long limit) {
        while (!times.isEmpty() && times.peekFirst() <= limit) {
            times.removeFirst();
        }
    }
}
