package org.streamring.entry.recovery;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.streamring.entry.ledger.LedgerHolder;
import org.streamring.entry.peer.SidecarLinks;
import org.streamring.kernel.ledger.BillItem;
import org.streamring.kernel.ledger.LeaseLedger;
import org.streamring.kernel.ledger.Reservation;
import org.streamring.kernel.receipt.Receipt;

/** Resolves uncertain attempts of this entry by querying the sidecar that ran them, after it has reconnected. */
public final class UncertainResolver {
    private final LedgerHolder ledgers;
    private final SidecarLinks links;

    /** Creates a resolver. */
    public UncertainResolver(LedgerHolder ledgers, SidecarLinks links) {
        this.ledgers = ledgers;
        this.links = links;
    }

    /** Queries one sidecar for the receipts of the attempts that are uncertain there, if there are any. */
    public void resolve(String sidecarIncarnation) {
        LeaseLedger ledger = ledgers.current();
        List<Reservation> uncertain = ledger.uncertainAt(sidecarIncarnation);
        if (uncertain.isEmpty()) {
            return;
        }
        List<String> attempts = uncertain.stream().map(Reservation::attempt).toList();
        links.receipts(sidecarIncarnation, attempts)
                .thenAccept(receipts -> settle(ledger, sidecarIncarnation, uncertain, receipts));
    }

    private static void settle(
            LeaseLedger ledger, String sidecarIncarnation, List<Reservation> uncertain, List<Receipt> receipts) {
        Map<String, Receipt> byAttempt = new HashMap<>();
        receipts.forEach(receipt -> byAttempt.put(receipt.attempt(), receipt));
        for (Reservation reservation : uncertain) {
            Receipt receipt = byAttempt.get(reservation.attempt());
            if (receipt == null) {
                ledger.release(reservation);
            } else if (receipt.ended()) {
                ledger.finish(
                        reservation,
                        BillItem.of(receipt, sidecarIncarnation, System.currentTimeMillis()),
                        System.currentTimeMillis());
            }
        }
    }
}
