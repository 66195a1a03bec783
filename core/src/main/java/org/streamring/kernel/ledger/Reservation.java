package org.streamring.kernel.ledger;

/**
 * Tokens of a lease set aside for the worst case of one attempt.
 *
 * @param attempt attempt that they are for
 * @param budget budget
 * @param leaseId lease
 * @param tokens tokens set aside
 */
public record Reservation(String attempt, String budget, String leaseId, long tokens) {}
