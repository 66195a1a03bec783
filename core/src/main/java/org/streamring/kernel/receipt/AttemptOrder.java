package org.streamring.kernel.receipt;

/**
 * An entry's order to run one attempt.
 *
 * @param attempt unique identifier of the attempt
 * @param entryIncarnation incarnation of the entry whose lease pays
 * @param requestKey identifier of the request, scoped to its client account
 * @param bodyHash hash of method, path and body
 * @param account client account
 * @param budget budget that pays
 * @param leaseId lease that pays
 * @param service service asked
 * @param reserved most tokens that the attempt may spend
 * @param repeatable whether a second run does no harm
 * @param keepAnswer whether the answer is kept for a retry of the caller
 * @param rank priority rank; 0 is first
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
