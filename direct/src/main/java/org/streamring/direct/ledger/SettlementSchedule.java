package org.streamring.direct.ledger;

import java.util.Random;

/**
 * Schedule by which an entry reclaims its predecessor's leases of accounts of which it is not a home entry. It limits
 * the number of accounts per write. The home entries of these accounts write the same rows and take precedence: when
 * each entry's first write contained the rows of all accounts, only 12 of 33 entries had a write confirmed within five
 * seconds after all of them were lost, and home entries continued without leases. Confined to one thread.
 */
final class SettlementSchedule {
    /** With 40 accounts and 33 entries, each row changes about seven times per second for four seconds. */
    private static final int ACCOUNTS_AT_ONCE = 8;

    private static final long PAUSE_MILLIS = 600;

    private final Random random;
    private long nextMillis = -1;

    SettlementSchedule(Random random) {
        this.random = random;
    }

    /**
     * Returns the maximum number of accounts that a write planned now may settle. The first call returns 0.
     *
     * @param nowMillis current time in milliseconds on a monotonic clock
     */
    int maxAccounts(long nowMillis) {
        boolean first = nextMillis < 0;
        if (!first && nowMillis < nextMillis) {
            return 0;
        }
        nextMillis = nowMillis + PAUSE_MILLIS + random.nextLong(PAUSE_MILLIS);
        return first ? 0 : ACCOUNTS_AT_ONCE;
    }
}
