package org.streamring.kernel.prepaid;

import java.util.HashMap;
import java.util.Map;
import org.streamring.kernel.store.StorePosition;

/**
 * What this process knows of the accounts' rows: the newest row of each account that it has read or written, and the
 * grants of which other entries have told it.
 *
 * <p>A store that was restored from an older copy has lost the last changes of these rows. {@link #complete} adds them
 * to a row that was read, so that tokens which an entry may spend are not granted again. Confined to one thread.
 */
public final class AccountKnowledge {
    private final Map<String, KnownRow> rows = new HashMap<>();
    private final Map<String, Map<String, KnownGrant>> grants = new HashMap<>();

    /**
     * A row that was read or written.
     *
     * @param position era and version of the row
     */
    public record KnownRow(StorePosition position, PrepaidRow row) {}

    /**
     * Tokens granted to an incarnation.
     *
     * @param position era and version of the row that granted them
     */
    public record KnownGrant(StorePosition position, long tokens) {}

    /** Adds a row; an older one than known has no effect. */
    public void addRow(String account, KnownRow row) {
        rows.merge(account, row, (known, added) -> added.position().isBefore(known.position()) ? known : added);
    }

    /** Adds a grant; an older one than known has no effect. */
    public void addGrant(String account, String incarnation, KnownGrant grant) {
        grants.computeIfAbsent(account, name -> new HashMap<>())
                .merge(
                        incarnation,
                        grant,
                        (known, added) -> added.position().isBefore(known.position()) ? known : added);
    }

    /** Returns the newest known row of each account. */
    public Map<String, KnownRow> rows() {
        return Map.copyOf(rows);
    }

    /** Returns the newest known grant by account and incarnation. */
    public Map<String, Map<String, KnownGrant>> grants() {
        return Map.copyOf(grants);
    }

    /**
     * Returns a row that was read, with all known changes that it lacks.
     *
     * @param position era in which the row was read, and its version
     */
    public PrepaidRow complete(String account, PrepaidRow read, StorePosition position) {
        KnownRow known = rows.get(account);
        if (known == null || includes(read, position, known.position())) {
            return withGrants(account, read, position);
        }
        boolean knownReplacesRead = !read.basis().equals(StorePosition.NONE) || read.equals(PrepaidRow.EMPTY);
        PrepaidRow base = knownReplacesRead
                ? known.row().withLimit(read.limit(), read.limitVersion())
                : known.row().coveringAlso(read);
        return withGrants(account, base, known.position());
    }

    private PrepaidRow withGrants(String account, PrepaidRow base, StorePosition position) {
        PrepaidRow complete = base;
        for (Map.Entry<String, KnownGrant> each :
                grants.getOrDefault(account, Map.of()).entrySet()) {
            if (!includes(base, position, each.getValue().position())) {
                complete = complete.withGrantOfAtLeast(
                        each.getKey(), each.getValue().tokens());
            }
        }
        return complete;
    }

    /**
     * Returns whether a row includes the change at another position. A row includes its own change and all changes up
     * to its basis. If its basis is not known, all changes of its era and of older ones up to its version are assumed
     * to be included.
     */
    private static boolean includes(PrepaidRow row, StorePosition position, StorePosition change) {
        if (change.equals(position)) {
            return true;
        }
        if (!row.basis().equals(StorePosition.NONE)) {
            return !row.basis().isBefore(change);
        }
        return change.era() <= position.era() && change.version() <= position.version();
    }
}
