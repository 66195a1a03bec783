package org.streamring.kernel.once;

import org.streamring.kernel.table.Row;

/** Result of a claim. */
public sealed interface ClaimResult {
    /**
     * The claim was written. The request may be sent to the sidecar of the claim.
     *
     * @param row row of the claim
     */
    record Granted(Row row) implements ClaimResult {}

    /**
     * The request is already bound to a sidecar.
     *
     * @param row row of the existing claim
     * @param record contents of that row
     */
    record Bound(Row row, ClaimRecord record) implements ClaimResult {}

    /** The claim row was changed or removed while it was being replaced. The caller has to read it again. */
    record Conflict() implements ClaimResult {}
}
