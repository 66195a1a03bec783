/** Leases of prepaid tokens, kept in the store. */
@NullMarked
package org.streamring.direct.ledger;

import org.jspecify.annotations.NullMarked;
