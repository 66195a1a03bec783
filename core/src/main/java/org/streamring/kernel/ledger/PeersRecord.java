package org.streamring.kernel.ledger;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Text of the row that names the sidecars to which an incarnation of an entry may send attempts. It is written only
 * together with the row of the entry, so the list no longer changes after another entry has started to close the
 * incarnation.
 *
 * @param peers incarnations of the sidecars
 */
public record PeersRecord(List<String> peers) {
    /** Copies the list; a null list becomes an empty one. */
    public PeersRecord(@Nullable List<String> peers) {
        this.peers = peers == null ? List.of() : List.copyOf(peers);
    }
}
