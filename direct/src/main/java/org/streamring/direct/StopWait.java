package org.streamring.direct;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Waits until an entry has stopped. The event loop ends the stop by itself, so a wait that is over means that the loop
 * does not run any more.
 */
final class StopWait {
    /** The loop ends a stop shortly before the grace period is over, later if it is held up. */
    private static final Duration MARGIN = Duration.ofSeconds(1);

    private static final long CHECK_INTERVAL_MILLIS = 50;

    private final LongSupplier clock;
    private final Supplier<Duration> gracePeriod;

    /**
     * Creates a wait that has not begun.
     *
     * @param clock milliseconds on a monotonic clock
     * @param gracePeriod returns the current grace period, which may change during the stop
     */
    StopWait(LongSupplier clock, Supplier<Duration> gracePeriod) {
        this.clock = clock;
        this.gracePeriod = gracePeriod;
    }

    /** Waits for the end of the stop. */
    void await(CompletableFuture<Void> stopped) throws InterruptedException, ExecutionException, TimeoutException {
        long startedMillis = clock.getAsLong();
        while (!stopped.isDone()) {
            if (clock.getAsLong() - startedMillis
                    > gracePeriod.get().plus(MARGIN).toMillis()) {
                throw new TimeoutException("the event loop did not end the stop");
            }
            awaitNextCheck(stopped);
        }
        stopped.get();
    }

    private static void awaitNextCheck(CompletableFuture<Void> stopped)
            throws InterruptedException, ExecutionException {
        try {
            stopped.get(CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            // The grace period may have changed, so it is read again.
        }
    }
}
