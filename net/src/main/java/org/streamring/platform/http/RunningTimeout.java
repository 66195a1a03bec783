package org.streamring.platform.http;

import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;

/**
 * Waits for a result with a timeout that counts only the time during which this process runs.
 *
 * <p>A process that was paused finds its timeouts expired before it has read the answers that arrived meanwhile.
 */
final class RunningTimeout {
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    /** A longer step counts as this much; the process did not run for the remainder. */
    private static final long MAX_COUNTED_NANOS = 2 * STEP_NANOS;

    private final long timeoutNanos;
    private final LongSupplier nanoClock;

    /**
     * Creates a timeout.
     *
     * @param nanoClock monotonic clock in nanoseconds
     */
    RunningTimeout(Duration timeout, LongSupplier nanoClock) {
        this.timeoutNanos = timeout.toNanos();
        this.nanoClock = nanoClock;
    }

    /**
     * Waits for the result.
     *
     * @throws TimeoutException if the process has run for the timeout without a result, and for one more step if it was
     *     paused meanwhile
     */
    <T> T await(Future<T> result) throws ExecutionException, InterruptedException, TimeoutException {
        boolean paused = false;
        long leftNanos = timeoutNanos;
        while (leftNanos > 0) {
            long startNanos = nanoClock.getAsLong();
            try {
                return result.get(Math.min(STEP_NANOS, leftNanos), TimeUnit.NANOSECONDS);
            } catch (TimeoutException e) {
                long elapsedNanos = nanoClock.getAsLong() - startNanos;
                paused |= elapsedNanos > MAX_COUNTED_NANOS;
                leftNanos -= Math.min(elapsedNanos, MAX_COUNTED_NANOS);
            }
        }
        return result.get(paused ? STEP_NANOS : 0, TimeUnit.NANOSECONDS);
    }
}
