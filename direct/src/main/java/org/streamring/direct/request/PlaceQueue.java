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
import org.streamring.kernel.admission.PlacePace;
import org.streamring.kernel.admission.WaitDecision;
import org.streamring.kernel.admission.WaitPolicy;
import org.streamring.kernel.admission.WaitQuery;

/** Requests that wait for a place at a replica; the most urgent and oldest goes first. Confined to the event loop. */
final class PlaceQueue {
    private static final Logger LOGGER = LoggerFactory.getLogger(PlaceQueue.class);
    private static final long TICK_MILLIS = 15;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final WaitPolicy policy;
    private final PlacePace pace = new PlacePace();
    private final List<Waiting> waiting = new ArrayList<>();
    private boolean ticking;

    /** A request that waits. */
    interface Waiting {
        /** Rank, 0 being the most urgent. */
        int rank();

        /** Tries to go on; returns false if it still has to wait. */
        boolean tryPlace();
    }

    PlaceQueue(EventLoop loop, LongSupplier clock, WaitPolicy policy) {
        this.loop = loop;
        this.clock = clock;
        this.policy = policy;
    }

    /**
     * Decides whether a request for which no place is free waits.
     *
     * @param closedMillis time until a replica may be asked at all, as in {@link WaitQuery}
     */
    WaitDecision decide(Waiting request, long waitedMillis, Duration target, long deadlineMillis, long closedMillis) {
        long now = clock.getAsLong();
        return policy.decide(new WaitQuery(
                waitedMillis,
                target.toMillis(),
                deadlineMillis - now,
                ahead(request),
                pace.perMilli(now),
                closedMillis));
    }

    private int ahead(Waiting request) {
        int own = waiting.indexOf(request);
        return own >= 0
                ? own
                : (int) waiting.stream()
                        .filter(each -> each.rank() <= request.rank())
                        .count();
    }

    /** Notes that an attempt is over and its place free. */
    void freed() {
        pace.freed(clock.getAsLong());
    }

    void add(Waiting request) {
        waiting.add(request);
        waiting.sort(Comparator.comparingInt(Waiting::rank));
        if (!ticking) {
            ticking = true;
            scheduleTick();
        }
    }

    void remove(Waiting request) {
        waiting.remove(request);
    }

    /** Lets requests that wait go on where there is room now. */
    void poke() {
        for (Waiting request : List.copyOf(waiting)) {
            if (waiting.contains(request)) {
                look(request);
            }
        }
    }

    /** A request that fails waits no more, so that it holds up nobody behind it; its deadline ends it. */
    private void look(Waiting request) {
        boolean waitsOn = false;
        try {
            waitsOn = !request.tryPlace();
        } finally {
            if (!waitsOn) {
                waiting.remove(request);
            }
        }
    }

    private void scheduleTick() {
        loop.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS).addListener(PlaceQueue::logFailure);
    }

    private void tick() {
        try {
            poke();
        } finally {
            if (waiting.isEmpty()) {
                ticking = false;
            } else {
                scheduleTick();
            }
        }
    }

    private static void logFailure(Future<?> ticked) {
        if (ticked.cause() != null) {
            LOGGER.error("a request that waits for a place failed", ticked.cause());
        }
    }
}
