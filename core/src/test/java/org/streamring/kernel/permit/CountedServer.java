package org.streamring.kernel.permit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A server that names limits, and counts what it gets of the entries that it has told. */
final class CountedServer {
    private static final long CONTACT_MILLIS = 3_000;
    private static final long WINDOW_MILLIS = 4_000;
    private static final long TOLD_MILLIS = 500;
    /** Smaller limits are less than what callers want of a server. */
    private static final double MOST_SCARCE = 3;

    private final String name;
    private final Map<String, Long> told = new HashMap<>();
    private final Deque<Arrival> arrivals = new ArrayDeque<>();
    private final List<String> breaches = new ArrayList<>();
    private double limit = -1;
    private long namedAt;
    private int arrived;
    private int arrivedWhileScarce;
    private double scarceAllowed;

    private record Arrival(String entry, long at) {}

    CountedServer(String name) {
        this.name = name;
    }

    String name() {
        return name;
    }

    boolean isLimited() {
        return limit >= 0;
    }

    /** From now on its answers name this limit; a negative number for none. */
    void names(double perSecond, long now) {
        endOfLimit(now);
        limit = perSecond;
        namedAt = now;
        told.clear();
        arrivals.clear();
    }

    /** Adds up what the limit that ends now has allowed. */
    void endOfLimit(long now) {
        if (isScarce(now)) {
            scarceAllowed += limit * (now - namedAt - CONTACT_MILLIS) / 1_000;
        }
    }

    /** What its answers say. */
    LimitWord word() {
        return isLimited() ? LimitWord.named(limit) : LimitWord.NONE;
    }

    /** An entry has heard an answer that says so. */
    void told(String entry, LimitWord word, long now) {
        if (isLimited() && word.equals(word())) {
            told.putIfAbsent(entry, now);
        }
    }

    /** An entry ended or stood still: what it was told is gone. */
    void excuse(String entry) {
        told.remove(entry);
    }

    /** A request has come from an entry. */
    void arrived(String entry, long now) {
        arrived++;
        arrivedWhileScarce += isScarce(now) ? 1 : 0;
        if (!isLimited() || now - told.getOrDefault(entry, now) < TOLD_MILLIS) {
            return;
        }
        arrivals.addLast(new Arrival(entry, now));
        while (now - arrivals.peekFirst().at() > WINDOW_MILLIS) {
            arrivals.removeFirst();
        }
        long counted =
                arrivals.stream().filter(each -> told.containsKey(each.entry())).count();
        if (now - namedAt > CONTACT_MILLIS && counted > (long) (6 * limit + 5)) {
            breaches.add("at %d: %s named %s at %d, got %d".formatted(now, name, limit, namedAt, counted));
        }
    }

    private boolean isScarce(long now) {
        return isLimited() && limit <= MOST_SCARCE && now - namedAt > CONTACT_MILLIS;
    }

    /** Requests that reached it. */
    int arrivals() {
        return arrived;
    }

    /** Arrivals beyond what a window allows. */
    List<String> breaches() {
        return breaches;
    }

    /** Requests that reached it while it named a small limit. */
    int arrivedWhileScarce() {
        return arrivedWhileScarce;
    }

    /** What its small limits add up to. */
    double scarceAllowed() {
        return scarceAllowed;
    }
}
