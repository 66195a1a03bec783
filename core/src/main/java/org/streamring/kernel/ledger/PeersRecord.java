package org.streamring.kernel.ledger;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Text of the row that names the sidecars which an entry's incarnation may give work to. It is written only together
 * with
 * the entry's row, so whoever closes the incarnation knows that the list no longer changes.
 *
 * @param peers incarnations of the sidecars
 */
public record PeersRecord(List<String> peers) {
    /** Copies the list; an absent one is empty. */
    public PeersRecord(@Nullable List<String> peers) {
        this.peers = peers == null ? List.of() : List.copyOf(peers);
    }
}
