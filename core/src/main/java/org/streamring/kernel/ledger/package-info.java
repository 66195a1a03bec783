/**
 * Leases on prepaid budgets: tokens are taken from the table before they are spent, so that no partition can
 * overspend.
 */
@NullMarked
package org.streamring.kernel.ledger;

import org.jspecify.annotations.NullMarked;
