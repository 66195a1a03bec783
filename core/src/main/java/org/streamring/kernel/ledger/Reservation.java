package org.streamring.kernel.ledger;

/**
 * Tokens of a lease that are reserved for the worst case of one attempt.
 *
 * @param attempt identifier of the attempt
 * @param budget budget that the lease was taken from
 * @param leaseId identifier of the lease
 * @param tokens number of reserved tokens
 */
public record Reservation(String attempt, String budget, String leaseId, long tokens) {}
