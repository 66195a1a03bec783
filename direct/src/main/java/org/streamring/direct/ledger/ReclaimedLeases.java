package org.streamring.direct.ledger;

import org.streamring.kernel.prepaid.PrepaidRow;

/**
 * Totals of the predecessor's leases that one write reclaims.
 *
 * @param accounts number of accounts of which tokens are reclaimed
 * @param tokens number of tokens that become available again
 * @param unproved number of tokens that count as used although the predecessor had not reported them, because it may
 *     have used them between its last write and its end
 */
record ReclaimedLeases(int accounts, long tokens, long unproved) {
    static final ReclaimedLeases NOTHING = new ReclaimedLeases(0, 0, 0);

    /**
     * Adds an account.
     *
     * @param before its row with the predecessor's lease
     * @param after its row without this lease
     */
    ReclaimedLeases plus(PrepaidRow before, PrepaidRow after) {
        long freed = before.used() - after.used();
        long nowSpent = after.spentAtLeast() - before.spentAtLeast();
        return new ReclaimedLeases(accounts + 1, tokens + freed, unproved + nowSpent);
    }
}
