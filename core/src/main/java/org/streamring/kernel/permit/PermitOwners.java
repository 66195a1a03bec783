package org.streamring.kernel.permit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import org.streamring.kernel.routing.RendezvousHash;

/**
 * Which entries issue the permits of a server, and how much of its limit.
 *
 * <p>The first entry by the hash of the server issues the whole limit, the second, for those who can't reach the first,
 * a small part of it. An entry that has become the first one issues that small part as well until the views of all
 * entries have followed. So what two entries with differing views issue stays below one and a half times the limit.
 * Confined to one thread.
 */
public final class PermitOwners {
    /** Owners of a server's permits. */
    static final int OWNERS = 2;

    /** What an owner issues beside another one that may issue the whole limit. */
    static final double SMALL_SHARE = 0.25;

    /** By then all entries have read who is alive: they read every two to eight seconds. */
    static final long SETTLED_MILLIS = 10_000;

    private final String own;
    private final Deque<View> views = new ArrayDeque<>();
    private Set<String> newest = Set.of();
    private boolean isolated;

    private record View(Set<String> entries, long untilMillis) {}

    /**
     * Creates one that knows of no entry.
     *
     * @param own name of this entry
     */
    public PermitOwners(String own) {
        this.own = own;
    }

    /**
     * Takes the entries that may own permits, this one among them; none while they are not known.
     *
     * @param isolatedNow whether this entry reaches none of the others
     */
    public void entries(Set<String> entries, boolean isolatedNow, long nowMillis) {
        isolated = isolatedNow;
        while (!views.isEmpty() && nowMillis - views.getFirst().untilMillis() > SETTLED_MILLIS) {
            views.removeFirst();
        }
        if (!entries.equals(newest)) {
            views.addLast(new View(newest, nowMillis));
            newest = Set.copyOf(entries);
        }
    }

    /** The owners of a server's permits, the one to be asked first. */
    public List<String> of(String incarnation) {
        return owners(incarnation, newest);
    }

    /** The part of a server's limit for which this entry may issue permits. */
    public double share(String incarnation) {
        List<String> owners = of(incarnation);
        if (!owners.contains(own)) {
            return 0;
        }
        boolean settled =
                isFirst(owners) && views.stream().allMatch(view -> isFirst(owners(incarnation, view.entries())));
        return settled && !isolated ? 1 : SMALL_SHARE;
    }

    private boolean isFirst(List<String> owners) {
        return !owners.isEmpty() && owners.get(0).equals(own);
    }

    private static List<String> owners(String incarnation, Set<String> entries) {
        return RendezvousHash.order(incarnation, entries).stream().limit(OWNERS).toList();
    }
}
