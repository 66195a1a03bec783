package org.streamring.kernel.limit;

import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * This entry's part of an amount that all entries together may use within a sliding window.
 *
 * <p>All entries that may be live have equal parts of most of the amount; one that is unreachable keeps its part. A
 * restarted process has none for the length of the window, because its predecessor may have used the part of the box
 * until its start. A process that joins others uses what they leave, until the uses from before they divided the amount
 * anew no longer count. Confined to one thread.
 */
public final class FleetShare {
    /** Part of the amount that established entries use together. */
    static final double USED_SHARE = 0.8;

    /** Part of the amount that a joining entry uses while the others don't know of it. */
    private static final double JOINING_SHARE = 0.2;

    /** Time after which all entries know of a new one; they read the entries every two to eight seconds. */
    private static final long VIEW_PROPAGATION_MILLIS = 10_000;

    /** Much shorter than the time after which other entries divide the part of an unreachable one among themselves. */
    private static final long MAX_VIEW_AGE_MILLIS = 30_000;

    private final Supplier<View> view;
    private final LongSupplier sinceStart;

    /** What a process found when it started. */
    public enum Start {
        /** No entry. */
        FIRST,
        /** An earlier process of its box. */
        RESTARTED,
        /** Other entries only, or what it found is not known yet. */
        JOINED
    }

    /**
     * The entries that may be live, as last read.
     *
     * @param entries number of entries including this one; 0 before the first reading
     * @param ageMillis milliseconds since the reading
     * @param start what this process found when it started
     */
    public record View(int entries, long ageMillis, Start start) {}

    /**
     * Creates a share.
     *
     * @param sinceStart milliseconds since this process started
     */
    public FleetShare(Supplier<View> view, LongSupplier sinceStart) {
        this.view = view;
        this.sinceStart = sinceStart;
    }

    /** Returns the entries that may be live, as last read. */
    public View view() {
        return view.get();
    }

    /**
     * Returns whether what a predecessor of this process did may still count.
     *
     * @param windowMillis milliseconds for which it counts
     */
    public boolean predecessorMayCount(long windowMillis) {
        return view.get().start() == Start.RESTARTED && sinceStart.getAsLong() < windowMillis;
    }

    /**
     * Returns this entry's part of an amount.
     *
     * @param windowMillis milliseconds for which a use counts
     */
    public double of(double amount, long windowMillis) {
        View current = view.get();
        boolean known = current.entries() > 0 && current.ageMillis() <= MAX_VIEW_AGE_MILLIS;
        if (!known || predecessorMayCount(windowMillis)) {
            return 0;
        }
        double part = USED_SHARE * amount / current.entries();
        boolean joining =
                current.start() == Start.JOINED && sinceStart.getAsLong() < windowMillis + VIEW_PROPAGATION_MILLIS;
        return joining ? Math.min(part, JOINING_SHARE * amount) : part;
    }
}
