package org.streamring.kernel.ledger;

import org.streamring.kernel.receipt.Receipt;

/**
 * Bill item of one attempt that ran. Two items with the same attempt are the same item.
 *
 * @param attempt unique identifier of the attempt
 * @param request identifier of the request
 * @param account client account that sent the request
 * @param budget budget that the tokens are charged to
 * @param lease lease that the tokens were spent from
 * @param service service that was requested
 * @param backend incarnation of the sidecar that ran the attempt
 * @param promptTokens prompt tokens
 * @param answerTokens generated tokens
 * @param tokens tokens charged
 * @param epochMillis time at which the attempt ended, in milliseconds since the epoch
 */
public record BillItem(
        String attempt,
        String request,
        String account,
        String budget,
        String lease,
        String service,
        String backend,
        long promptTokens,
        long answerTokens,
        long tokens,
        long epochMillis) {

    /**
     * Creates the item for the receipt of a sidecar.
     *
     * @param backend incarnation of the sidecar
     */
    public static BillItem of(Receipt receipt, String backend, long epochMillis) {
        return new BillItem(
                receipt.attempt(),
                receipt.requestKey(),
                receipt.account(),
                receipt.budget(),
                receipt.leaseId(),
                receipt.service(),
                backend,
                receipt.usage().promptTokens(),
                receipt.usage().answerTokens(),
                receipt.tokens(),
                epochMillis);
    }
}
