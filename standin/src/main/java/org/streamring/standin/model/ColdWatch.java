package org.streamring.standin.model;

import java.util.ArrayDeque;
import java.util.Deque;

/** Counts what reaches a cold replica. */
final class ColdWatch {
    private static final double SECOND_MILLIS = 1_000;

    private final double untilMillis;
    private final double mostInSecond;
    private final Deque<Double> arrivals = new ArrayDeque<>();

    ColdWatch(double untilMillis, double mostInSecond) {
        this.untilMillis = untilMillis;
        this.mostInSecond = mostInSecond;
    }

    /** Notes an arrival; tells whether it is one too many. */
    boolean tooMany(double nowMillis) {
        if (nowMillis >= untilMillis || mostInSecond <= 0) {
            return false;
        }
        arrivals.addLast(nowMillis);
        while (arrivals.peekFirst() <= nowMillis - SECOND_MILLIS) {
            arrivals.removeFirst();
        }
        boolean over = arrivals.size() > mostInSecond;
        if (over) {
            arrivals.clear();
        }
        return over;
    }
}
