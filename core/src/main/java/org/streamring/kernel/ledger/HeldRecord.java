package org.streamring.kernel.ledger;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Text of a row of held tokens. Tokens are held if no reachable process can confirm whether they were spent.
 *
 * @param budget budget that the tokens belong to
 * @param leaseId lease that the tokens were taken with
 * @param attempts attempts of unknown outcome; empty if every receipt for the lease at the sidecars in {@code
 *     waitingFor} counts
 * @param waitingFor incarnations of the sidecars whose receipts are missing
 */
public record HeldRecord(String budget, String leaseId, List<String> attempts, List<String> waitingFor) {
    /** Copies the lists; a null list becomes an empty one. */
    public HeldRecord(
            String budget, String leaseId, @Nullable List<String> attempts, @Nullable List<String> waitingFor) {
        this.budget = budget;
        this.leaseId = leaseId;
        this.attempts = attempts == null ? List.of() : List.copyOf(attempts);
        this.waitingFor = waitingFor == null ? List.of() : List.copyOf(waitingFor);
    }

    /** Returns whether a receipt for this attempt settles part of the held tokens. */
    public boolean covers(String attempt) {
        return attempts.isEmpty() || attempts.contains(attempt);
    }
}
