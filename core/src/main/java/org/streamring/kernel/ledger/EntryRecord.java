package org.streamring.kernel.ledger;

/**
 * Text of the row of an incarnation of an entry. Every ledger transaction of the incarnation replaces this row at its
 * expected version, which orders the transactions, fences late ones and proves that the entry is alive.
 *
 * @param transactionId identifier of the last transaction, used to resolve a lost answer
 * @param state whether the incarnation may still write
 * @param closer incarnation of the entry that closes this one; empty while open
 * @param configVersion version of the configuration in use at the entry
 * @param address address at which callers reach the entry
 */
public record EntryRecord(String transactionId, State state, String closer, long configVersion, String address) {
    /** State of an incarnation. */
    public enum State {
        /** The incarnation owns its leases. */
        OPEN,
        /** Another entry is closing the leases of the incarnation. */
        CLOSING
    }

    /** Returns this record in state {@link State#CLOSING}. */
    public EntryRecord closedBy(String newCloser) {
        return new EntryRecord(transactionId, State.CLOSING, newCloser, configVersion, address);
    }
}
