package org.streamring.kernel.prepaid;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Stored state of one account: the tokens used for good and the holding of each incarnation.
 *
 * @param closed tokens used by incarnations whose holdings are closed
 * @param limit prepaid tokens, from the newest configuration known to any writer
 * @param limitVersion version of that configuration
 * @param holdings holdings by incarnation
 */
public record PrepaidRow(long closed, long limit, long limitVersion, Map<String, Holding> holdings) {
    /** Row of an account without any use. */
    public static final PrepaidRow EMPTY = new PrepaidRow(0, 0, Long.MIN_VALUE, Map.of());

    /** Copies the map. */
    public PrepaidRow {
        holdings = Map.copyOf(holdings);
    }

    /** Returns the maximum number of tokens that may have been spent in total. */
    public long used() {
        return closed + holdings.values().stream().mapToLong(Holding::granted).sum();
    }

    /** Returns the minimum number of tokens that were spent in total. */
    public long spentAtLeast() {
        return closed + holdings.values().stream().mapToLong(Holding::spent).sum();
    }

    /** Returns the tokens of the limit that are neither used nor held. */
    public long unheld() {
        return limit - used();
    }

    /** Returns the holding of an incarnation. */
    public Optional<Holding> holding(String incarnation) {
        return Optional.ofNullable(holdings.get(incarnation));
    }

    /** Returns this row with the given limit, or this row if its limit is from a newer configuration. */
    public PrepaidRow withLimit(long newLimit, long version) {
        return version < limitVersion ? this : new PrepaidRow(closed, newLimit, version, holdings);
    }

    /** Returns this row with the given holding of an incarnation. */
    public PrepaidRow withHolding(String incarnation, Holding holding) {
        Map<String, Holding> changed = new TreeMap<>(holdings);
        changed.put(incarnation, holding);
        return new PrepaidRow(closed, limit, limitVersion, changed);
    }

    /** Returns this row after an incarnation returned all tokens that it had not spent. */
    public PrepaidRow withClosed(String incarnation, long spent) {
        Map<String, Holding> changed = new TreeMap<>(holdings);
        changed.remove(incarnation);
        return new PrepaidRow(closed + spent, limit, limitVersion, changed);
    }
}
