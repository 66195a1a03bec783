package org.streamring.kernel.prepaid;

/** How often entries write their leases and marks. */
public final class RenewalPace {
    private static final long BASE_MILLIS = 400;
    /**
     * The store takes transactions of a partition one after another, 5 ms each; with three times that for each writer a
     * third of its time is used by renewals, whatever the number of entries.
     */
    private static final long MILLIS_PER_WRITER = 15;

    private RenewalPace() {}

    /**
     * Time from one renewal to the next. Entries that hold leases must stay within their patience; with a pace that all
     * share it was 4.9 s before 300 entries, with a patience of 3.2 s.
     *
     * @param holder whether the entry may hold leases
     * @param holders entries that may hold leases
     * @param entries live entries
     */
    public static long millis(boolean holder, int holders, int entries) {
        return BASE_MILLIS + MILLIS_PER_WRITER * (holder ? holders : entries);
    }
}
