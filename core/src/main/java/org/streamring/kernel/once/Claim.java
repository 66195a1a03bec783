package org.streamring.kernel.once;

import org.streamring.kernel.table.RowKeys;

/**
 * A wish to bind a request to a sidecar.
 *
 * @param requestKey identifier of the request, scoped to its client account
 * @param expectedVersion version of the claim row to replace; 0 to create it
 * @param record what to write
 * @param nowMillis when, for the removal of old claims
 */
public record Claim(String requestKey, long expectedVersion, ClaimRecord record, long nowMillis) {
    /** Key of the claim's row. */
    public String rowKey() {
        return RowKeys.claim(requestKey);
    }
}
