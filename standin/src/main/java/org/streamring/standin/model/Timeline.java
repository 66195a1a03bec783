package org.streamring.standin.model;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Simulated time: what is planned happens in order, at no cost of real time. */
final class Timeline {
    private final PriorityQueue<Planned> planned =
            new PriorityQueue<>(Comparator.comparingDouble(Planned::atMillis).thenComparingLong(Planned::order));
    private double nowMillis;
    private long count;

    private record Planned(double atMillis, long order, Runnable action) {}

    /** Milliseconds since the start. */
    double now() {
        return nowMillis;
    }

    /** The same in whole milliseconds, as the kernel counts. */
    long millis() {
        return (long) nowMillis;
    }

    /** Plans an action; one that is due already happens next. */
    void at(double millis, Runnable action) {
        planned.add(new Planned(Math.max(nowMillis, millis), count++, action));
    }

    /** Plans an action after a while. */
    void after(double millis, Runnable action) {
        at(nowMillis + millis, action);
    }

    /** Lets all happen that is planned up to a time. */
    void runUntil(double endMillis) {
        while (!planned.isEmpty() && planned.peek().atMillis() <= endMillis) {
            Planned next = planned.poll();
            nowMillis = next.atMillis();
            next.action().run();
        }
        nowMillis = endMillis;
    }
}
