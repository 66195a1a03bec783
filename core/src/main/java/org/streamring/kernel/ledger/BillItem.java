package org.streamring.kernel.ledger;

import org.streamring.kernel.receipt.Receipt;

/**
 * One attempt that ran, as it is billed. Two items with the same attempt are the same item.
 *
 * @param attempt unique identifier of the attempt
 * @param request identifier of the request
 * @param account client account that asked
 * @param budget budget that pays
 * @param lease lease it was spent from
 * @param service service that was asked
 * @param backend incarnation of the sidecar that ran it
 * @param promptTokens prompt tokens
 * @param answerTokens generated tokens
 * @param tokens tokens charged
 * @param epochMillis when it ended
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
     * The item that a sidecar's receipt stands for.
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
