package org.streamring.kernel.ledger;

/**
 * Text of a lease's row; the row's amount is the lease's tokens.
 *
 * @param budget budget it was taken from
 */
public record LeaseRecord(String budget) {}
