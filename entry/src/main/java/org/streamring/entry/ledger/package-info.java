/** Applies the plans of the lease ledger to the table, and keeps the requests that wait for a lease. */
@NullMarked
package org.streamring.entry.ledger;

import org.jspecify.annotations.NullMarked;
