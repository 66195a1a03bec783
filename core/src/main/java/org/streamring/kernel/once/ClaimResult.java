package org.streamring.kernel.once;

import org.streamring.kernel.table.Row;

/** What became of a claim. */
public sealed interface ClaimResult {
    /**
     * The claim stands; the sidecar it names may be given the request.
     *
     * @param row the row
     */
    record Granted(Row row) implements ClaimResult {}

    /**
     * The request is bound already.
     *
     * @param row the row that binds it
     * @param record its text
     */
    record Bound(Row row, ClaimRecord record) implements ClaimResult {}

    /** The claim row changed or vanished while it was being replaced; read and decide again. */
    record Conflict() implements ClaimResult {}
}
