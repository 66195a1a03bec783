package org.streamring.kernel.limit;

import java.time.Duration;

/** Token bucket whose capacity is the burst. Not thread-safe. */
final class TokenBucket {
    private static final double MILLIS_PER_SECOND = Duration.ofSeconds(1).toMillis();

    private final double burst;
    private double level;
    private long updatedMillis;

    TokenBucket(double burst, long nowMillis) {
        this.burst = burst;
        this.level = burst;
        this.updatedMillis = nowMillis;
    }

    void add(double amount) {
        level = Math.min(burst, level + amount);
    }

    void refill(double perSecond, long nowMillis) {
        add(perSecond * Math.max(0, nowMillis - updatedMillis) / MILLIS_PER_SECOND);
        updatedMillis = nowMillis;
    }

    boolean take() {
        if (level < 1) {
            return false;
        }
        level -= 1;
        return true;
    }
}
