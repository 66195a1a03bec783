package org.streamring.kernel.prepaid;

/** Calculates the interval at which entries write their leases and usage caps. */
public final class RenewalInterval {
    private static final long BASE_MILLIS = 400;
    /**
     * Interval added for each writer. The store executes the transactions of a partition sequentially, 5 ms each; with
     * three times that for each writer, renewals take a third of its time regardless of the number of entries.
     */
    private static final long MILLIS_PER_WRITER = 15;

    private RenewalInterval() {}

    /**
     * Returns the time between two renewals. The interval of entries that hold leases must stay below their silence
     * timeout: with one interval for all entries it was 4.9 s with 300 entries, at a silence timeout of 3.2 s.
     *
     * @param holder whether the entry may hold leases
     * @param holders number of entries that may hold leases
     * @param entries number of live entries
     */
    public static long millis(boolean holder, int holders, int entries) {
        return BASE_MILLIS + MILLIS_PER_WRITER * (holder ? holders : entries);
    }
}
