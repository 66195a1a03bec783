package org.streamring.kernel.recovery;

import java.util.List;
import org.streamring.kernel.receipt.Receipt;

/**
 * Answer of a sidecar to a fence request.
 *
 * @param peer incarnation of the sidecar
 * @param receipts receipts of the sidecar for leases of the fenced entry
 */
public record PeerReceipts(String peer, List<Receipt> receipts) {
    /** Creates an answer with a copy of the list. */
    public PeerReceipts {
        receipts = List.copyOf(receipts);
    }

    /** Returns whether an attempt is still running; if so, the sidecar has to be queried again. */
    public boolean stillRunning() {
        return receipts.stream().anyMatch(receipt -> !receipt.ended());
    }
}
