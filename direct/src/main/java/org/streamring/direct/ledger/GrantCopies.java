package org.streamring.direct.ledger;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.streamring.kernel.store.StorePosition;

/**
 * Other entries that keep copies of this entry's grants, so that the grants outlast both this entry and a store that is
 * restored from an older copy.
 */
public interface GrantCopies {
    /**
     * Sends grants to other entries.
     *
     * @param grants tokens granted to this incarnation, by account
     * @param position position of the rows that granted them
     * @return completes with true once another entry keeps them, or if no other entry is connected; with false if no
     *     entry has answered in time
     */
    CompletableFuture<Boolean> keep(Map<String, Long> grants, StorePosition position);

    /**
     * Asks the connected entries for all that they know of the accounts' rows, and adds it to what this entry knows.
     *
     * @return completes with the number of entries that answered, once all of them have or no more are waited for
     */
    CompletableFuture<Integer> collect();
}
