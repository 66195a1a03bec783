package org.streamring.kernel.store;

import java.util.Comparator;

/**
 * Position in the history of the store. Versions increase within an era. A new era begins when the store is restored
 * from an older copy; versions then continue from that copy, so versions of different eras can't be compared.
 *
 * @param era era of the store; {@link #NO_ERA} if the store has none
 * @param version version within the era
 */
public record StorePosition(long era, long version) implements Comparable<StorePosition> {
    /** Era of a store that does not name eras. */
    public static final long NO_ERA = 0;

    /** Position before all others. */
    public static final StorePosition NONE = new StorePosition(NO_ERA, -1);

    private static final Comparator<StorePosition> ORDER =
            Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::version);

    /** Returns a position in a store that does not name eras. */
    public static StorePosition withoutEra(long version) {
        return new StorePosition(NO_ERA, version);
    }

    @Override
    public int compareTo(StorePosition other) {
        return ORDER.compare(this, other);
    }

    /** Returns whether this position is before another one. */
    public boolean isBefore(StorePosition other) {
        return compareTo(other) < 0;
    }
}
