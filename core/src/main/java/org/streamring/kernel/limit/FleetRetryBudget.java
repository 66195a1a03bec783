package org.streamring.kernel.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * This entry's part of a limit on retries that applies to all entries together.
 *
 * <p>The limit holds in every window: retries &le; ratio × requests + slack. An entry uses the part of the first term
 * that its own requests contribute, and its share of the second. A granted retry counts until it is given back, or for
 * one window after it was sent. Confined to one thread.
 */
public final class FleetRetryBudget {
    /** Retries take different times to arrive, so that those of more than one window may arrive within one. */
    private static final long MAX_TRANSIT_MILLIS = 500;

    private final double ratio;
    private final double slack;
    private final long windowMillis;
    private final FleetShare share;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> sent = new ArrayDeque<>();
    private int granted;

    /**
     * Use of a budget.
     *
     * @param requests requests within the window
     * @param sent retries sent within the window
     * @param granted retries granted that were neither sent nor given back
     * @param allowed retries allowed within the window
     * @param fleet entries that may be live, as last read
     */
    public record Use(int requests, int sent, int granted, double allowed, FleetShare.View fleet) {}

    /** A granted retry, which is either sent or given back. */
    public final class Grant {
        private boolean open = true;

        private Grant() {}

        /** Records that the retry is written to a connection now. Has no effect on a closed grant. */
        public void sent(long nowMillis) {
            if (close()) {
                sent.addLast(nowMillis);
            }
        }

        /** Gives the retry back unsent. Has no effect on a closed grant. */
        public void giveBack() {
            close();
        }

        private boolean close() {
            boolean wasOpen = open;
            open = false;
            granted -= wasOpen ? 1 : 0;
            return wasOpen;
        }
    }

    /**
     * Creates a budget.
     *
     * @param ratio retries allowed per request
     * @param slack additional retries allowed to all entries together
     * @param windowMillis length of the sliding window, in milliseconds
     * @param share this entry's part of the slack
     */
    public FleetRetryBudget(double ratio, double slack, long windowMillis, FleetShare share) {
        this.ratio = ratio;
        this.slack = slack;
        this.windowMillis = windowMillis;
        this.share = share;
    }

    /** Records a request. */
    public void request(long nowMillis) {
        requests.addLast(nowMillis);
        expire(nowMillis);
    }

    /** Returns whether the budget allows one more retry. */
    public boolean allows(long nowMillis) {
        expire(nowMillis);
        return sent.size() + granted + 1 <= allowed();
    }

    /** Takes one retry from the budget; empty if the budget allows none. */
    public Optional<Grant> tryRetry(long nowMillis) {
        if (!allows(nowMillis)) {
            return Optional.empty();
        }
        granted++;
        return Optional.of(new Grant());
    }

    private double allowed() {
        double fromRequests = FleetShare.USED_SHARE * ratio * requests.size();
        return fromRequests + share.of(slack, windowMillis + MAX_TRANSIT_MILLIS);
    }

    /** Returns the use of this budget at the last decision. */
    public Use use() {
        return new Use(requests.size(), sent.size(), granted, allowed(), share.view());
    }

    private void expire(long nowMillis) {
        dropUntil(requests, nowMillis - windowMillis);
        dropUntil(sent, nowMillis - windowMillis - MAX_TRANSIT_MILLIS);
    }

    private static void dropUntil(Deque<Long> times, long limit) {
        while (!times.isEmpty() && times.peekFirst() <= limit) {
            times.removeFirst();
        }
    }
}
