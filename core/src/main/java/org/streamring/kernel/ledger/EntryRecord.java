package org.streamring.kernel.ledger;

/**
 * Text of the row of an entry's incarnation. Every ledger transaction of the incarnation replaces this row at its
 * expected version, which orders them, fences a late one, and proves that the entry is alive.
 *
 * @param transactionId the last transaction, by which a lost answer is resolved
 * @param state whether the incarnation may still write
 * @param closer incarnation of the entry that closes it; empty while open
 * @param configVersion configuration version in force there
 * @param address where callers reach it
 */
public record EntryRecord(String transactionId, State state, String closer, long configVersion, String address) {
    /** Whether the incarnation may still write. */
    public enum State {
        /** The incarnation owns its leases. */
        OPEN,
        /** Another entry is closing its leases. */
        CLOSING
    }

    /** The same record, marked as being closed. */
    public EntryRecord closedBy(String newCloser) {
        return new EntryRecord(transactionId, State.CLOSING, newCloser, configVersion, address);
    }
}
