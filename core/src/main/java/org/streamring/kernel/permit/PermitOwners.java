package org.streamring.kernel.permit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.streamring.kernel.routing.RendezvousHash;

/**
 * Determines which entries issue the permits of a backend server, and for which share of its limit.
 *
 * <p>The entry that ranks first by rendezvous hash of the server issues the whole limit. The second issues a small
 * share of it, for entries that can't reach the first. An entry that has become first also issues only the small share
 * until the membership views of all entries include the change. Two entries with different views therefore issue less
 * than one and a half times the limit together. Confined to one thread.
 */
public final class PermitOwners {
    /** Number of owners of a server's permits. */
    static final int OWNER_COUNT = 2;

    /** Share of the limit that an owner issues while another one may issue the whole limit. */
    static final double SMALL_SHARE = 0.25;

    /** Time after which all entries have read a membership change; they read the members every two to eight seconds. */
    static final long VIEW_PROPAGATION_MILLIS = 10_000;

    private final String ownName;
    private final Deque<View> earlierViews = new ArrayDeque<>();
    private Set<String> currentEntries = Set.of();
    private boolean isolated;

    private record View(Set<String> entries, long untilMillis) {}

    /**
     * Creates an instance without members.
     *
     * @param ownName name of this entry
     */
    public PermitOwners(String ownName) {
        this.ownName = ownName;
    }

    /**
     * Sets the entries that may own permits.
     *
     * @param entries the entries, including this one; empty while the members are not known
     * @param isolatedNow whether this entry is connected to none of the others
     */
    public void setEntries(Set<String> entries, boolean isolatedNow, long nowMillis) {
        isolated = isolatedNow;
        while (!earlierViews.isEmpty() && nowMillis - earlierViews.getFirst().untilMillis() > VIEW_PROPAGATION_MILLIS) {
            earlierViews.removeFirst();
        }
        if (!entries.equals(currentEntries)) {
            earlierViews.addLast(new View(currentEntries, nowMillis));
            currentEntries = Set.copyOf(entries);
        }
    }

    /** Returns the owners of a server's permits, in the order in which they are to be asked. */
    public List<String> ownersOf(String incarnation) {
        return owners(incarnation, currentEntries);
    }

    /** Returns the share of a server's limit for which this entry may issue permits, from 0 to 1. */
    public double shareOf(String incarnation) {
        List<String> owners = ownersOf(incarnation);
        if (!owners.contains(ownName)) {
            return 0;
        }
        boolean firstInAllViews =
                isFirst(owners) && earlierViews.stream().allMatch(view -> isFirst(owners(incarnation, view.entries())));
        return firstInAllViews && !isolated ? 1 : SMALL_SHARE;
    }

    /**
     * Returns the time until this entry may issue the whole limit of a server, in milliseconds; empty if it may
     * already, or if no time is known from which it may.
     */
    public OptionalLong millisUntilWholeLimit(String incarnation, long nowMillis) {
        if (isolated || !isFirst(ownersOf(incarnation))) {
            return OptionalLong.empty();
        }
        return earlierViews.stream()
                .filter(view -> !isFirst(owners(incarnation, view.entries())))
                .mapToLong(view -> Math.max(0, view.untilMillis() + VIEW_PROPAGATION_MILLIS - nowMillis))
                .max();
    }

    private boolean isFirst(List<String> owners) {
        return !owners.isEmpty() && owners.get(0).equals(ownName);
    }

    private static List<String> owners(String incarnation, Set<String> entries) {
        return RendezvousHash.order(incarnation, entries).stream()
                .limit(OWNER_COUNT)
                .toList();
    }
}
