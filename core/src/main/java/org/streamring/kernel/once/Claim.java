package org.streamring.kernel.once;

import org.streamring.kernel.table.RowKeys;

/**
 * Attempt to bind a request to a sidecar by writing its claim row.
 *
 * @param requestKey identifier of the request, scoped to its client account
 * @param expectedVersion version of the claim row to replace; 0 to create it
 * @param record contents of the row
 * @param nowMillis time of the claim, used for the removal of old claims
 */
public record Claim(String requestKey, long expectedVersion, ClaimRecord record, long nowMillis) {
    /** Returns the key of the claim's row. */
    public String rowKey() {
        return RowKeys.claim(requestKey);
    }
}
