package org.streamring.kernel.prepaid;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.streamring.kernel.routing.RendezvousHash;

/**
 * Selects the home entries of each account: the entries that hold its leases. In a small fleet, every entry is a home
 * entry. In a larger fleet, only a few are, because the unused remainders kept by many holders add up to more tokens
 * than the account has. The other entries borrow tokens from the home entries for each request.
 *
 * <p>If two entries see different fleet members, they may only ask the wrong entries for tokens; limits still hold.
 * Confined to one thread.
 */
public final class HomeEntries {
    /** Maximum size of a fleet in which every entry holds leases of every account. */
    private static final int MAX_SMALL_FLEET_ENTRIES = 8;

    /**
     * Home entries per account in a larger fleet. Two tolerate the loss of one; each additional one splits the
     * remaining tokens of an account once more and is another writer of the same row.
     */
    private static final int HOMES_PER_ACCOUNT = 2;

    /**
     * Maximum size of a fleet in which every entry is connected to every other one, so that any entry may hold leases.
     */
    public static final int ALL_CONNECTED = 40;

    /**
     * Entries that may hold leases in a fleet of more than {@link #ALL_CONNECTED} entries; all other entries are
     * connected to them. With 24 holders, each one answers about 60 token requests per second for the 1,350 prepaid
     * requests per second that 300 entries serve, and is a home entry of about three of forty accounts.
     */
    private static final int HOLDER_COUNT = 24;

    private static final String HOLDERS_KEY = "holders";

    private final String own;
    private final Map<String, List<String>> homes = new HashMap<>();
    private List<String> entries;
    private Set<String> holders;

    /**
     * Creates a selection for a fleet in which no other entry is known yet.
     *
     * @param own name of this entry
     */
    public HomeEntries(String own) {
        this.own = own;
        this.entries = List.of(own);
        this.holders = Set.of(own);
    }

    /**
     * Updates the live entries of the fleet.
     *
     * @param names names of the other live entries
     */
    public void updatePeers(Collection<String> names) {
        TreeSet<String> all = new TreeSet<>(names);
        all.add(own);
        if (!entries.equals(List.copyOf(all))) {
            entries = List.copyOf(all);
            holders = Set.copyOf(chooseHolders());
            homes.clear();
        }
    }

    /** Returns the names of the entries that may be home entries of any account. */
    public Set<String> holders() {
        return holders;
    }

    /** Returns whether this entry may be a home entry of any account. */
    public boolean isHolder() {
        return holders.contains(own);
    }

    /** Returns the names of the home entries of an account. */
    public List<String> of(String account) {
        return homes.computeIfAbsent(account, this::chooseHomes);
    }

    /** Returns whether this entry is a home entry of an account. */
    public boolean isHome(String account) {
        return of(account).contains(own);
    }

    /** Returns whether the fleet is so small that all its entries hold leases of all accounts. */
    public boolean allAreHomes() {
        return entries.size() <= MAX_SMALL_FLEET_ENTRIES;
    }

    /** Returns the sizing of the leases that home entries hold. */
    public LeaseShape shape() {
        return allAreHomes() ? LeaseShape.ALL_HOLD : LeaseShape.FEW_HOLD;
    }

    private List<String> chooseHolders() {
        return entries.size() <= ALL_CONNECTED
                ? entries
                : RendezvousHash.order(HOLDERS_KEY, entries).stream()
                        .limit(HOLDER_COUNT)
                        .toList();
    }

    private List<String> chooseHomes(String account) {
        int count = allAreHomes() ? entries.size() : HOMES_PER_ACCOUNT;
        return RendezvousHash.order(account, holders).stream().limit(count).toList();
    }
}
