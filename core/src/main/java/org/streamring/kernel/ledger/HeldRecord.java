package org.streamring.kernel.ledger;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Why tokens are held: nobody reachable can say whether they were spent.
 *
 * @param budget budget concerned
 * @param leaseId lease they were taken with
 * @param attempts the attempts in doubt; empty if every receipt for the lease at the sidecars waited for counts
 * @param waitingFor incarnations of the sidecars whose receipts are missing
 */
public record HeldRecord(String budget, String leaseId, List<String> attempts, List<String> waitingFor) {
    /** Copies the lists; an absent one is empty. */
    public HeldRecord(
            String budget, String leaseId, @Nullable List<String> attempts, @Nullable List<String> waitingFor) {
        this.budget = budget;
        this.leaseId = leaseId;
        this.attempts = attempts == null ? List.of() : List.copyOf(attempts);
        this.waitingFor = waitingFor == null ? List.of() : List.copyOf(waitingFor);
    }

    /** Whether a receipt for this attempt settles part of what is held. */
    public boolean covers(String attempt) {
        return attempts.isEmpty() || attempts.contains(attempt);
    }
}
