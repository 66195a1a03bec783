package org.streamring.kernel.prepaid;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.streamring.kernel.store.StorePosition;

/**
 * Stored state of one account: the tokens used for good and the holding of each incarnation.
 *
 * @param closed tokens used by incarnations whose holdings are closed
 * @param limit prepaid tokens, from the newest configuration known to any writer
 * @param limitVersion version of that configuration
 * @param holdings holdings by incarnation
 * @param basis position of the row from which this one was derived; {@link StorePosition#NONE} if it is not known, as
 *     in rows of older versions
 */
public record PrepaidRow(
        long closed, long limit, long limitVersion, Map<String, Holding> holdings, StorePosition basis) {
    /** Row of an account without any use. */
    public static final PrepaidRow EMPTY = new PrepaidRow(0, 0, Long.MIN_VALUE, Map.of());

    /** Copies the map. */
    public PrepaidRow {
        holdings = Map.copyOf(holdings);
    }

    /** Creates a row whose basis is not known. */
    public PrepaidRow(long closed, long limit, long limitVersion, Map<String, Holding> holdings) {
        this(closed, limit, limitVersion, holdings, StorePosition.NONE);
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
        return version < limitVersion ? this : new PrepaidRow(closed, newLimit, version, holdings, basis);
    }

    /** Returns this row with the given holding of an incarnation. */
    public PrepaidRow withHolding(String incarnation, Holding holding) {
        Map<String, Holding> changed = new TreeMap<>(holdings);
        changed.put(incarnation, holding);
        return new PrepaidRow(closed, limit, limitVersion, changed, basis);
    }

    /** Returns this row as derived from the row at the given position. */
    public PrepaidRow basedOn(StorePosition position) {
        return new PrepaidRow(closed, limit, limitVersion, holdings, position);
    }

    /** Returns this row with a holding of an incarnation of at least the given size. */
    public PrepaidRow withGrantOfAtLeast(String incarnation, long tokens) {
        Holding present = holdings.getOrDefault(incarnation, new Holding(0, 0));
        return tokens <= present.granted() ? this : withHolding(incarnation, new Holding(tokens, present.spent()));
    }

    /**
     * Returns a row that counts at least as many tokens as used as this row and another one do, for each incarnation
     * and in total. An incarnation that is closed in only one of the rows is counted twice.
     */
    public PrepaidRow coveringAlso(PrepaidRow other) {
        PrepaidRow covering = new PrepaidRow(Math.max(closed, other.closed), limit, limitVersion, holdings, basis)
                .withLimit(other.limit, other.limitVersion);
        for (Map.Entry<String, Holding> each : other.holdings.entrySet()) {
            covering =
                    covering.withGrantOfAtLeast(each.getKey(), each.getValue().granted());
        }
        return covering;
    }

    /** Returns this row after an incarnation returned all tokens that it had not spent. */
    public PrepaidRow withClosed(String incarnation, long spent) {
        Map<String, Holding> changed = new TreeMap<>(holdings);
        changed.remove(incarnation);
        return new PrepaidRow(closed + spent, limit, limitVersion, changed, basis);
    }
}
