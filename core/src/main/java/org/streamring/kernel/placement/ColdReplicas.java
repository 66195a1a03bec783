package org.streamring.kernel.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.streamring.kernel.routing.RendezvousHash;

/**
 * Which replicas are cold, and how many requests this entry may send to each meanwhile.
 *
 * <p>Entries may not hear each other, so what one sends follows from what it knows alone: a few entries, the owners,
 * are chosen for each replica among all that may be alive, and each has a fixed part of what the replica bears; the
 * others send it nothing. An even part for every entry would be less than one request a second where there are more
 * entries than that. Views of the fleet may differ until they make twice as many owners. Confined to one thread.
 */
public final class ColdReplicas {
    /** One or two may be gone; with more of them the part of each would be small. */
    static final int OWNERS = 3;

    /** Owners of one replica by all views together: those of two views that share none. */
    static final int OWNERS_BY_ALL_VIEWS = 2 * OWNERS;

    /** A request may leave up to 500 ms after it is placed, when its connection is there, and counts in that second. */
    static final long WINDOW_MILLIS = 1_500;

    private final String own;
    private final Supplier<Set<String>> entries;
    private final Map<String, Long> coldUntil = new HashMap<>();
    private final Map<String, Deque<Long>> placed = new HashMap<>();
    private final Map<String, Boolean> owned = new HashMap<>();
    private Set<String> knownEntries = Set.of();

    /**
     * Creates one that knows of no cold replica.
     *
     * @param own name of this entry
     * @param entries names of all entries that may be alive, this one among them; empty while they are not known
     */
    public ColdReplicas(String own, Supplier<Set<String>> entries) {
        this.own = own;
        this.entries = entries;
    }

    /** Takes a replica's word that it stays cold for so long; of several the latest end counts. */
    public void heard(String replica, long remainingMillis, long nowMillis) {
        if (remainingMillis > 0) {
            coldUntil.merge(replica, nowMillis + remainingMillis, Math::max);
        }
    }

    /** Whether a replica is cold. */
    public boolean isCold(String replica, long nowMillis) {
        return coldUntil.getOrDefault(replica, Long.MIN_VALUE) > nowMillis;
    }

    /** Whether this entry may send a replica one more request now; always for one that is warm. */
    public boolean takes(String replica, ColdLimit limit, long nowMillis) {
        if (!limit.binds() || !isCold(replica, nowMillis)) {
            return true;
        }
        return owns(replica) && placedSince(replica, nowMillis - WINDOW_MILLIS) < part(limit);
    }

    /** Notes a request that is placed at a replica. */
    public void placed(String replica, long nowMillis) {
        Deque<Long> times = placed.computeIfAbsent(replica, key -> new ArrayDeque<>());
        times.addLast(nowMillis);
        placedSince(replica, nowMillis - WINDOW_MILLIS);
    }

    /** Forgets replicas that are gone. */
    public void keepOnly(Set<String> replicas) {
        coldUntil.keySet().retainAll(replicas);
        placed.keySet().retainAll(replicas);
        owned.keySet().retainAll(replicas);
    }

    /** Requests that one owner may place within the window. */
    static int part(ColdLimit limit) {
        int safe = (int) (limit.mostInSecond() / OWNERS_BY_ALL_VIEWS);
        int borne = Math.max(1, (int) (limit.perSecond() / OWNERS));
        return Math.min(safe, borne);
    }

    private boolean owns(String replica) {
        Set<String> known = entries.get();
        if (!known.equals(knownEntries)) {
            knownEntries = Set.copyOf(known);
            owned.clear();
        }
        return owned.computeIfAbsent(replica, this::chosen);
    }

    private boolean chosen(String replica) {
        return RendezvousHash.order(replica, knownEntries).stream()
                .limit(OWNERS)
                .anyMatch(own::equals);
    }

    private int placedSince(String replica, long oldestMillis) {
        Deque<Long> times = placed.getOrDefault(replica, new ArrayDeque<>());
        while (!times.isEmpty() && times.peekFirst() <= oldestMillis) {
            times.removeFirst();
        }
        return times.size();
    }
}
