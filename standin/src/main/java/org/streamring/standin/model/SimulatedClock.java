package org.streamring.standin.model;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Simulated clock that runs scheduled actions in the order of their times, without waiting in real time. */
final class SimulatedClock {
    private final PriorityQueue<ScheduledAction> scheduled = new PriorityQueue<>(
            Comparator.comparingDouble(ScheduledAction::atMillis).thenComparingLong(ScheduledAction::order));
    private double nowMillis;
    private long nextOrder;

    private record ScheduledAction(double atMillis, long order, Runnable action) {}

    /** Returns the simulated time in milliseconds since the start. */
    double now() {
        return nowMillis;
    }

    /** Returns the simulated time in whole milliseconds, the unit of the kernel's classes. */
    long millis() {
        return (long) nowMillis;
    }

    /** Schedules an action for a time; if this is in the past, the action is due at once. */
    void at(double millis, Runnable action) {
        scheduled.add(new ScheduledAction(Math.max(nowMillis, millis), nextOrder++, action));
    }

    /** Schedules an action after a delay. */
    void after(double millis, Runnable action) {
        at(nowMillis + millis, action);
    }

    /** Runs all actions that are due up to the given time. */
    void runUntil(double endMillis) {
        while (!scheduled.isEmpty() && scheduled.peek().atMillis() <= endMillis) {
            ScheduledAction next = scheduled.poll();
            nowMillis = next.atMillis();
            next.action().run();
        }
        nowMillis = endMillis;
    }
}
