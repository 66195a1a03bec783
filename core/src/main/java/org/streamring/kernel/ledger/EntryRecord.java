package org.streamring.kernel.ledger;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Text of the row of an entry's incarnation. Every ledger transaction of the incarnation replaces this row at its
 * expected version, which orders them, fences a late one, and proves that the entry is alive.
 *
 * @param transactionId the last transaction, by which a lost answer is resolved
 * @param state whether the incarnation may still write
 * @param closer incarnation of the entry that closes it; empty while open
 * @param peers incarnations of the sidecars that may have been given work
 * @param configVersion configuration version in force there
 * @param address where callers reach it
 */
public record EntryRecord(
        String transactionId, State state, String closer, List<String> peers, long configVersion, String address) {
    /** Whether the incarnation may still write. */
    public enum State {
        /** The incarnation owns its leases. */
        OPEN,
        /** Another entry is closing its leases. */
        CLOSING
    }

    /** Copies the list; an absent one is empty. */
    public EntryRecord(
            String transactionId,
            State state,
            String closer,
            @Nullable List<String> peers,
            long configVersion,
            String address) {
        this.transactionId = transactionId;
        this.state = state;
        this.closer = closer;
        this.peers = peers == null ? List.of() : List.copyOf(peers);
        this.configVersion = configVersion;
        this.address = address;
    }

    /** The same record, marked as being closed. */
    public EntryRecord closedBy(String newCloser) {
        return new EntryRecord(transactionId, State.CLOSING, newCloser, peers, configVersion, address);
    }
}
