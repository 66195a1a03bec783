package org.streamring.direct.ledger;

import org.streamring.kernel.prepaid.PrepaidRow;

/**
 * What one write takes back of the leases that a predecessor left.
 *
 * @param accounts accounts of which a rest is taken back
 * @param tokens tokens that are free again
 * @param unproved tokens that count as used although the predecessor had not told of them: it may have used them
 *     between its last write and its end
 */
record TakenBack(int accounts, long tokens, long unproved) {
    static final TakenBack NOTHING = new TakenBack(0, 0, 0);

    /**
     * Adds an account.
     *
     * @param before its row with the predecessor's lease
     * @param after its row without
     */
    TakenBack plus(PrepaidRow before, PrepaidRow after) {
        long freed = before.used() - after.used();
        long nowSpent = after.spentAtLeast() - before.spentAtLeast();
        return new TakenBack(accounts + 1, tokens + freed, unproved + nowSpent);
    }
}
