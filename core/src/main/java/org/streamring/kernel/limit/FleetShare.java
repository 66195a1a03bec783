package org.streamring.kernel.limit;

import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * This entry's part of an amount that all entries together may use within a sliding window.
 *
 * <p>All entries that may be live have equal parts; one that is unreachable keeps its part. A process has none for a
 * window after its start, because its predecessor on this box may have used the part of the box until then, and other
 * entries may not have divided the amount anew. The first process of a fleet has its part at once. Confined to one
 * thread.
 */
public final class FleetShare {
    /** Longer than it takes other entries to learn of a new one. */
    private static final long DIVIDED_ANEW_MILLIS = 5_000;

    /** Much shorter than the time after which other entries divide the part of an unreachable one among themselves. */
    private static final long MAX_VIEW_AGE_MILLIS = 30_000;

    private final Supplier<View> view;
    private final LongSupplier sinceStart;

    /**
     * The entries that may be live, as last read.
     *
     * @param entries number of entries including this one; 0 before the first reading
     * @param ageMillis milliseconds since the reading
     * @param first whether no process was listed before this one
     */
    public record View(int entries, long ageMillis, boolean first) {}

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
        return !view.get().first() && sinceStart.getAsLong() < windowMillis;
    }

    /**
     * Returns this entry's part of an amount.
     *
     * @param windowMillis milliseconds for which a use counts
     */
    public double of(double amount, long windowMillis) {
        View current = view.get();
        boolean starting = predecessorMayCount(windowMillis + DIVIDED_ANEW_MILLIS);
        if (starting || current.entries() == 0 || current.ageMillis() > MAX_VIEW_AGE_MILLIS) {
            return 0;
        }
        return amount / current.entries();
    }
}
