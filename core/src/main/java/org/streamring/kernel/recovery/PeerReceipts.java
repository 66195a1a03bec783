package org.streamring.kernel.recovery;

import java.util.List;
import org.streamring.kernel.receipt.Receipt;

/**
 * A sidecar's answer to a fence.
 *
 * @param peer incarnation of the sidecar
 * @param receipts its receipts for leases of the fenced entry
 */
public record PeerReceipts(String peer, List<Receipt> receipts) {
    /** Copies the list. */
    public PeerReceipts {
        receipts = List.copyOf(receipts);
    }

    /** Whether an attempt is still running, so that this answer is not the last. */
    public boolean stillRunning() {
        return receipts.stream().anyMatch(receipt -> !receipt.ended());
    }
}
