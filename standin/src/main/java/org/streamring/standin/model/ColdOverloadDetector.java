package org.streamring.standin.model;

import java.util.ArrayDeque;
import java.util.Deque;

/** Detects when a cold replica gets too many requests within a second. */
final class ColdOverloadDetector {
    private static final double SECOND_MILLIS = 1_000;

    private final double coldUntilMillis;
    private final double maxPerSecond;
    private final Deque<Double> arrivals = new ArrayDeque<>();

    ColdOverloadDetector(double coldUntilMillis, double maxPerSecond) {
        this.coldUntilMillis = coldUntilMillis;
        this.maxPerSecond = maxPerSecond;
    }

    /** Records the arrival of a request; returns whether it overloads the replica. */
    boolean recordArrival(double nowMillis) {
        if (nowMillis >= coldUntilMillis || maxPerSecond <= 0) {
            return false;
        }
        arrivals.addLast(nowMillis);
        while (arrivals.peekFirst() <= nowMillis - SECOND_MILLIS) {
            arrivals.removeFirst();
        }
        boolean overloaded = arrivals.size() > maxPerSecond;
        if (overloaded) {
            arrivals.clear();
        }
        return overloaded;
    }
}
