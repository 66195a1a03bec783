package org.streamring.kernel.permit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Backend server that announces limits, and counts the requests of the entries that have received its announcement. */
final class CountingServer {
    private static final long PROPAGATION_MILLIS = 3_000;
    private static final long WINDOW_MILLIS = 4_000;
    private static final long REACTION_MILLIS = 500;
    /** Limits up to this rate are below the load that callers offer to a server. */
    private static final double MAX_SCARCE_PER_SECOND = 3;

    private final String name;
    private final Map<String, Long> informed = new HashMap<>();
    private final Deque<Arrival> arrivals = new ArrayDeque<>();
    private final List<String> breaches = new ArrayList<>();
    private double limit = -1;
    private long announcedAt;
    private int arrived;
    private int arrivedWhileScarce;
    private double scarceAllowed;

    private record Arrival(String entry, long at) {}

    CountingServer(String name) {
        this.name = name;
    }

    String name() {
        return name;
    }

    boolean isLimited() {
        return limit >= 0;
    }

    /** Sets the limit that the answers announce from now on; negative for none. */
    void announce(double perSecond, long now) {
        endOfLimit(now);
        limit = perSecond;
        announcedAt = now;
        informed.clear();
        arrivals.clear();
    }

    /** Adds the requests that the limit ending now has allowed. */
    void endOfLimit(long now) {
        if (isScarce(now)) {
            scarceAllowed += limit * (now - announcedAt - PROPAGATION_MILLIS) / 1_000;
        }
    }

    /** Returns the limit notice of the answers. */
    LimitWord notice() {
        return isLimited() ? LimitWord.named(limit) : LimitWord.NONE;
    }

    /** Records that an entry has received an answer with the given notice. */
    void informed(String entry, LimitWord notice, long now) {
        if (isLimited() && notice.equals(notice())) {
            informed.putIfAbsent(entry, now);
        }
    }

    /** Records that an entry has lost the announcement because it stopped or was frozen. */
    void forgetAnnouncement(String entry) {
        informed.remove(entry);
    }

    /** Records the arrival of a request from an entry. */
    void arrived(String entry, long now) {
        arrived++;
        arrivedWhileScarce += isScarce(now) ? 1 : 0;
        if (!isLimited() || now - informed.getOrDefault(entry, now) < REACTION_MILLIS) {
            return;
        }
        arrivals.addLast(new Arrival(entry, now));
        while (now - arrivals.peekFirst().at() > WINDOW_MILLIS) {
            arrivals.removeFirst();
        }
        long counted = arrivals.stream()
                .filter(each -> informed.containsKey(each.entry()))
                .count();
        if (now - announcedAt > PROPAGATION_MILLIS && counted > (long) (6 * limit + 5)) {
            breaches.add("at %d: %s announced %s at %d, received %d".formatted(now, name, limit, announcedAt, counted));
        }
    }

    private boolean isScarce(long now) {
        return isLimited() && limit <= MAX_SCARCE_PER_SECOND && now - announcedAt > PROPAGATION_MILLIS;
    }

    /** Returns the number of requests that reached the server. */
    int arrivals() {
        return arrived;
    }

    /** Returns the windows in which more requests arrived than the limit allows. */
    List<String> breaches() {
        return breaches;
    }

    /** Returns the number of requests that arrived while the server announced a small limit. */
    int arrivedWhileScarce() {
        return arrivedWhileScarce;
    }

    /** Returns the number of requests that the small limits allowed in total. */
    double scarceAllowed() {
        return scarceAllowed;
    }
}
