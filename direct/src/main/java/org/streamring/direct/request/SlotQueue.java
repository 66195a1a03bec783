package org.streamring.direct.request;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamring.kernel.admission.RepeatedPass;
import org.streamring.kernel.admission.SlotReleaseRate;
import org.streamring.kernel.admission.WaitDecision;
import org.streamring.kernel.admission.WaitPolicy;
import org.streamring.kernel.admission.WaitQuery;

/** Requests that wait for a free slot at a replica, ordered by rank and then by age. Confined to the event loop. */
final class SlotQueue {
    private static final Logger LOGGER = LoggerFactory.getLogger(SlotQueue.class);
    private static final long TICK_MILLIS = 15;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final WaitPolicy policy;
    private final SlotReleaseRate releaseRate = new SlotReleaseRate();
    private final List<Waiting> waiting = new ArrayList<>();
    private final RepeatedPass retries = new RepeatedPass(this::retryAll);
    private boolean tickScheduled;

    /** A waiting request. */
    interface Waiting {
        /** Rank, 0 being the most urgent. */
        int rank();

        /** Tries to place the request at a replica; returns false if it still has to wait. */
        boolean tryPlace();
    }

    SlotQueue(EventLoop loop, LongSupplier clock, WaitPolicy policy) {
        this.loop = loop;
        this.clock = clock;
        this.policy = policy;
    }

    /**
     * Decides whether a request that found no free slot waits or is refused.
     *
     * @param unavailableMillis time until any replica accepts requests, as in {@link WaitQuery}
     */
    WaitDecision decide(
            Waiting request, long waitedMillis, Duration target, long deadlineMillis, long unavailableMillis) {
        long now = clock.getAsLong();
        return policy.decide(new WaitQuery(
                waitedMillis,
                target.toMillis(),
                deadlineMillis - now,
                requestsAhead(request),
                releaseRate.perMilli(now),
                unavailableMillis));
    }

    private int requestsAhead(Waiting request) {
        int found = waiting.indexOf(request);
        return found >= 0
                ? found
                : (int) waiting.stream()
                        .filter(each -> each.rank() <= request.rank())
                        .count();
    }

    /** Records that an attempt ended and released its slot. */
    void slotReleased() {
        releaseRate.recordRelease(clock.getAsLong());
    }

    void add(Waiting request) {
        waiting.add(request);
        waiting.sort(Comparator.comparingInt(Waiting::rank));
        if (!tickScheduled) {
            tickScheduled = true;
            scheduleTick();
        }
    }

    void remove(Waiting request) {
        waiting.remove(request);
    }

    /**
     * Retries all waiting requests, for which a slot may have become free. A request that ends thereby may call this
     * method; the requests are then retried once more when all were retried.
     */
    void retryWaiting() {
        retries.run();
    }

    private void retryAll() {
        for (Waiting request : List.copyOf(waiting)) {
            if (waiting.contains(request)) {
                retry(request);
            }
        }
    }

    /**
     * Retries one request. If that throws, the request is removed so that it does not block the requests behind it; its
     * deadline timer then ends it.
     */
    private void retry(Waiting request) {
        boolean stillWaiting = false;
        try {
            stillWaiting = !request.tryPlace();
        } catch (RuntimeException e) {
            LOGGER.error("retrying a request that waits for a slot failed", e);
        } finally {
            if (!stillWaiting) {
                waiting.remove(request);
            }
        }
    }

    private void scheduleTick() {
        loop.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS).addListener(SlotQueue::logTickFailure);
    }

    private void tick() {
        try {
            retryWaiting();
        } finally {
            if (waiting.isEmpty()) {
                tickScheduled = false;
            } else {
                scheduleTick();
            }
        }
    }

    private static void logTickFailure(Future<?> tickResult) {
        if (tickResult.cause() != null) {
            LOGGER.error("retrying a request that waits for a slot failed", tickResult.cause());
        }
    }
}
