package org.streamring.kernel.receipt;

/**
 * Order from an entry to a sidecar to run one attempt.
 *
 * @param attempt unique identifier of the attempt
 * @param entryIncarnation incarnation of the entry that holds the lease
 * @param requestKey identifier of the request, scoped to its client account
 * @param bodyHash hash of method, path and body
 * @param account client account
 * @param budget budget that the tokens are charged to
 * @param leaseId lease that the tokens are charged to
 * @param service requested service
 * @param reserved maximum number of tokens that the attempt may spend
 * @param repeatable whether the request may safely run more than once
 * @param keepAnswer whether the answer is kept for a retry by the caller
 * @param rank priority rank; 0 is the most urgent
 */
public record AttemptOrder(
        String attempt,
        String entryIncarnation,
        String requestKey,
        String bodyHash,
        String account,
        String budget,
        String leaseId,
        String service,
        long reserved,
        boolean repeatable,
        boolean keepAnswer,
        int rank) {}
