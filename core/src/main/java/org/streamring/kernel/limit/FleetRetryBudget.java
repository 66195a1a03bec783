package org.streamring.kernel.limit;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This entry's part of a limit on retries that all entries share.
 *
 * <p>The limit holds in every window: retries &le; ratio × requests + slack. An entry uses its requests' part of the
 * first term and an even part of the second. Confined to one thread.
 */
public final class FleetRetryBudget {
    private static final double MARGIN = 0.8;

    private final double ratio;
    private final double slack;
    private final long windowMillis;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> retries = new ArrayDeque<>();

    /**
     * Creates one.
     *
     * @param ratio retries allowed per request
     * @param slack retries allowed besides, by all entries together
     * @param windowMillis length of the sliding window
     */
    public FleetRetryBudget(double ratio, double slack, long windowMillis) {
        this.ratio = ratio;
        this.slack = slack;
        this.windowMillis = windowMillis;
    }

    /** Notes a request. */
    public void request(long nowMillis) {
        requests.addLast(nowMillis);
        expire(nowMillis);
    }

    /** Takes leave for one retry. */
    public boolean tryRetry(long nowMillis, int entries) {
        expire(nowMillis);
        double allowed = MARGIN * (ratio * requests.size() + slack / Math.max(1, entries));
        if (retries.size() + 1 > allowed) {
            return false;
        }
        retries.addLast(nowMillis);
        return true;
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
