package org.streamring.kernel.receipt;

/**
 * Record of one attempt kept by a sidecar. It is written before the attempt is forwarded, with the whole reservation
 * counted as spent, and corrected when the attempt ends.
 *
 * @param attempt unique identifier of the attempt
 * @param requestKey identifier of the request, scoped to its client account
 * @param account client account
 * @param budget budget that the tokens are charged to
 * @param leaseId lease that the tokens are charged to
 * @param service requested service
 * @param reserved tokens reserved; the attempt never spends more
 * @param usage tokens used so far, or the final usage if the attempt has ended
 * @param ended whether the attempt has ended
 */
public record Receipt(
        String attempt,
        String requestKey,
        String account,
        String budget,
        String leaseId,
        String service,
        long reserved,
        Usage usage,
        boolean ended) {

    /**
     * Returns the tokens to count as spent: the whole reservation until the attempt has ended, then the actual usage.
     */
    public long tokens() {
        return ended ? usage.tokens() : reserved;
    }
}
