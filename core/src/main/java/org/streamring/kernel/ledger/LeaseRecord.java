package org.streamring.kernel.ledger;

/**
 * Text of the row of a lease; the amount of the row is the number of leased tokens.
 *
 * @param budget budget that the lease was taken from
 */
public record LeaseRecord(String budget) {}
