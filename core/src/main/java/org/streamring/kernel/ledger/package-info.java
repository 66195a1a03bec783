/**
 * Leases on prepaid budgets: tokens are leased from the table before they are spent, so that a network partition cannot
 * cause overspending.
 */
@NullMarked
package org.streamring.kernel.ledger;

import org.jspecify.annotations.NullMarked;
