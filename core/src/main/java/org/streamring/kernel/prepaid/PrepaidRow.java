package org.streamring.kernel.prepaid;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The durable state of one account: what is used for good and what each incarnation holds.
 *
 * @param closed tokens used by incarnations that gave back their rest
 * @param limit prepaid tokens, by the newest configuration that a writer knew
 * @param limitVersion version of that configuration
 * @param holdings what each incarnation holds, by its identifier
 */
public record PrepaidRow(long closed, long limit, long limitVersion, Map<String, Holding> holdings) {
    /** A row of which nothing is used yet. */
    public static final PrepaidRow EMPTY = new PrepaidRow(0, 0, Long.MIN_VALUE, Map.of());

    /** Copies the map. */
    public PrepaidRow {
        holdings = Map.copyOf(holdings);
    }

    /** Tokens that may have been spent in all. */
    public long used() {
        return closed + holdings.values().stream().mapToLong(Holding::granted).sum();
    }

    /** Tokens that were spent for sure. */
    public long spentAtLeast() {
        return closed + holdings.values().stream().mapToLong(Holding::spent).sum();
    }

    /** Tokens that nobody holds. */
    public long unheld() {
        return limit - used();
    }

    /** What an incarnation holds. */
    public Optional<Holding> holding(String incarnation) {
        return Optional.ofNullable(holdings.get(incarnation));
    }

    /** This row with a limit, unless a newer one is known. */
    public PrepaidRow withLimit(long newLimit, long version) {
        return version < limitVersion ? this : new PrepaidRow(closed, newLimit, version, holdings);
    }

    /** This row with another holding of an incarnation. */
    public PrepaidRow withHolding(String incarnation, Holding holding) {
        Map<String, Holding> changed = new TreeMap<>(holdings);
        changed.put(incarnation, holding);
        return new PrepaidRow(closed, limit, limitVersion, changed);
    }

    /** This row after an incarnation gave back all that it had not spent. */
    public PrepaidRow withClosed(String incarnation, long spent) {
        Map<String, Holding> changed = new TreeMap<>(holdings);
        changed.remove(incarnation);
        return new PrepaidRow(closed + spent, limit, limitVersion, changed);
    }
}
