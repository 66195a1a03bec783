package org.streamring.kernel.ledger;

import java.time.Duration;

/** Exponentially smoothed spending rate, in tokens per second. */
final class DemandEstimator {
    private static final double WINDOW_SECONDS = 30;
    private static final double MILLIS = Duration.ofSeconds(1).toMillis();

    private double tokensInWindow;
    private long updatedMillis;

    void add(long tokens, long nowMillis) {
        decay(nowMillis);
        tokensInWindow += tokens;
    }

    double tokensPerSecond(long nowMillis) {
        decay(nowMillis);
        return tokensInWindow / WINDOW_SECONDS;
    }

    private void decay(long nowMillis) {
        double seconds = Math.max(0, nowMillis - updatedMillis) / MILLIS;
        tokensInWindow *= Math.exp(-seconds / WINDOW_SECONDS);
        updatedMillis = nowMillis;
    }
}
