package org.streamring.kernel.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.streamring.kernel.limit.FleetShare;
import org.streamring.kernel.routing.RendezvousHash;

/**
 * Tracks which replicas are cold, and limits the number of requests that this entry sends to each of them.
 *
 * <p>Entries may be unable to reach each other, so each entry decides from its own view of the fleet. For each replica
 * a few entries, the owners, are chosen among all entries that may be alive. Each owner may use a fixed part of the
 * request rate that the replica can handle; other entries send it nothing. With equal parts for all entries, a part
 * would be less than one request per second in a large fleet. The limit holds even if entries have different views of
 * the fleet, up to twice the number of owners. Confined to one thread.
 */
public final class ColdReplicas {
    /** Number of owners of a replica: one or two may fail, and with more owners the part of each would be small. */
    static final int OWNERS = 3;

    /** Maximum number of owners of one replica according to all views: two views without a common owner. */
    static final int MAX_OWNERS = 2 * OWNERS;

    /** One second, plus up to 500 ms between placing a request and sending it, when its connection is established. */
    static final long WINDOW_MILLIS = 1_500;

    private final String own;
    private final Supplier<Set<String>> entries;
    private final FleetShare share;
    private final Map<String, Long> coldUntil = new HashMap<>();
    private final Map<String, Deque<Long>> placed = new HashMap<>();
    private final Map<String, Boolean> owned = new HashMap<>();
    private Set<String> lastSeenEntries = Set.of();

    /**
     * Creates an instance without cold replicas.
     *
     * @param own name of this entry
     * @param entries names of all entries that may be alive, including this one; empty while they are unknown
     * @param share whether requests of a predecessor may still count
     */
    public ColdReplicas(String own, Supplier<Set<String>> entries, FleetShare share) {
        this.share = share;
        this.own = own;
        this.entries = entries;
    }

    /**
     * Records a report of a replica that it is cold. If there are several reports, the latest end applies.
     *
     * @param remainingMillis time for which the replica stays cold; ignored unless positive
     */
    public void recordCold(String replica, long remainingMillis, long nowMillis) {
        if (remainingMillis > 0) {
            coldUntil.merge(replica, nowMillis + remainingMillis, Math::max);
        }
    }

    /** Returns whether a replica is cold. */
    public boolean isCold(String replica, long nowMillis) {
        return coldUntil.getOrDefault(replica, Long.MIN_VALUE) > nowMillis;
    }

    /** Returns whether this entry may send a replica one more request now; always true for a warm replica. */
    public boolean mayPlace(String replica, ColdLimit limit, long nowMillis) {
        if (!limit.isLimited() || !isCold(replica, nowMillis)) {
            return true;
        }
        return !share.predecessorMayCount(WINDOW_MILLIS)
                && owns(replica)
                && placedSince(replica, nowMillis - WINDOW_MILLIS) < requestsPerOwner(limit);
    }

    /** Records a request that is placed at a replica. */
    public void placed(String replica, long nowMillis) {
        Deque<Long> times = placed.computeIfAbsent(replica, key -> new ArrayDeque<>());
        times.addLast(nowMillis);
        placedSince(replica, nowMillis - WINDOW_MILLIS);
    }

    /** Takes back the record of a request that was placed at the given time and was not sent. */
    public void notSent(String replica, long placedMillis) {
        Deque<Long> times = placed.get(replica);
        if (times != null) {
            times.removeLastOccurrence(placedMillis);
        }
    }

    /** Removes all replicas except the given ones. */
    public void keepOnly(Set<String> replicas) {
        coldUntil.keySet().retainAll(replicas);
        placed.keySet().retainAll(replicas);
        owned.keySet().retainAll(replicas);
    }

    /** Returns the number of requests that one owner may place within {@link #WINDOW_MILLIS}. */
    static int requestsPerOwner(ColdLimit limit) {
        int peak = (int) (limit.maxInOneSecond() / MAX_OWNERS);
        int sustained = Math.max(1, (int) (limit.perSecond() / OWNERS));
        return Math.min(peak, sustained);
    }

    private boolean owns(String replica) {
        Set<String> currentEntries = entries.get();
        if (!currentEntries.equals(lastSeenEntries)) {
            lastSeenEntries = Set.copyOf(currentEntries);
            owned.clear();
        }
        return owned.computeIfAbsent(replica, this::isOwner);
    }

    private boolean isOwner(String replica) {
        return RendezvousHash.order(replica, lastSeenEntries).stream()
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
