package org.streamring.kernel.prepaid;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.streamring.kernel.routing.RendezvousHash;

/**
 * Which entries hold the leases of an account. In a small fleet all do; in a larger one a few, its home entries, since
 * the rests that many holders keep add up to more than the account has. The others borrow from them for each request.
 *
 * <p>Entries whose views of the fleet differ only ask the wrong ones. Confined to one thread.
 */
public final class AccountHomes {
    /** Up to this many entries all hold leases. */
    private static final int SMALL_FLEET = 8;

    /** One may die; each further one splits the rest of an account once more, and writes the same row. */
    private static final int HOMES = 2;

    /** Up to this many entries all are connected to each other, so that any may hold leases. */
    public static final int ALL_CONNECTED = 40;

    /**
     * In a larger fleet this many entries hold leases, and all others are connected to them. A holder then answers some
     * 60 asks a second for the 1,350 prepaid requests a second that 300 entries serve, and is a home of some three of
     * forty accounts.
     */
    private static final int HOLDERS = 24;

    private static final String HOLDERS_KEY = "holders";

    private final String own;
    private final Map<String, List<String>> homes = new HashMap<>();
    private List<String> entries;
    private Set<String> holders;

    /**
     * Creates one that knows of no other entry.
     *
     * @param own name of this entry
     */
    public AccountHomes(String own) {
        this.own = own;
        this.entries = List.of(own);
        this.holders = Set.of(own);
    }

    /** Takes the names of the other live entries. */
    public void others(Collection<String> names) {
        TreeSet<String> all = new TreeSet<>(names);
        all.add(own);
        if (!entries.equals(List.copyOf(all))) {
            entries = List.copyOf(all);
            holders = Set.copyOf(chooseHolders());
            homes.clear();
        }
    }

    /** Names of the entries among which all accounts' homes are. */
    public Set<String> holders() {
        return holders;
    }

    /** Whether this entry may be a home. */
    public boolean isHolder() {
        return holders.contains(own);
    }

    /** Names of the entries that hold leases of an account. */
    public List<String> of(String account) {
        return homes.computeIfAbsent(account, this::choose);
    }

    /** Whether this entry holds leases of an account. */
    public boolean isHome(String account) {
        return of(account).contains(own);
    }

    /** Whether the fleet is so small that all its entries hold leases of all accounts. */
    public boolean allAreHomes() {
        return entries.size() <= SMALL_FLEET;
    }

    /** How large the leases of home entries are. */
    public LeaseShape shape() {
        return allAreHomes() ? LeaseShape.ALL_HOLD : LeaseShape.FEW_HOLD;
    }

    private List<String> chooseHolders() {
        return entries.size() <= ALL_CONNECTED
                ? entries
                : RendezvousHash.order(HOLDERS_KEY, entries).stream()
                        .limit(HOLDERS)
                        .toList();
    }

    private List<String> choose(String account) {
        int count = allAreHomes() ? entries.size() : HOMES;
        return RendezvousHash.order(account, holders).stream().limit(count).toList();
    }
}
