package org.streamring.kernel.receipt;

/**
 * A sidecar's record of one attempt. It is written before the attempt is forwarded, with the whole reservation as
 * spent, and corrected when the attempt ends.
 *
 * @param attempt unique identifier of the attempt
 * @param requestKey identifier of the request, scoped to its client account
 * @param account client account
 * @param budget budget that pays
 * @param leaseId lease that pays
 * @param service service asked
 * @param reserved tokens set aside; the attempt never spends more
 * @param usage tokens used so far, or for good if it has ended
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

    /** Tokens to count: the whole reservation until the attempt has ended. */
    public long tokens() {
        return ended ? usage.tokens() : reserved;
    }
}
