package org.streamring.direct.request;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Requests that wait for a place at a replica; the most urgent and oldest goes first. Confined to the event loop. */
final class PlaceQueue {
    private static final long TICK_MILLIS = 15;

    private final EventLoop loop;
    private final List<Waiting> waiting = new ArrayList<>();
    private boolean ticking;

    /** A request that waits. */
    interface Waiting {
        /** Rank, 0 being the most urgent. */
        int rank();

        /** Tries to go on; returns false if it still has to wait. */
        boolean tryPlace();
    }

    PlaceQueue(EventLoop loop) {
        this.loop = loop;
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
            if (waiting.contains(request) && request.tryPlace()) {
                waiting.remove(request);
            }
        }
    }

    private void scheduleTick() {
        loop.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        poke();
        if (waiting.isEmpty()) {
            ticking = false;
        } else {
            scheduleTick();
        }
    }
}
