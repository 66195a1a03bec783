/** Runs the lease ledger against the table, and holds requests that wait for a lease. */
@NullMarked
package org.streamring.entry.ledger;

import org.jspecify.annotations.NullMarked;
